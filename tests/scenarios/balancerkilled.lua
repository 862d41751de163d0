-- Callers hold Permit Board feeds open and upload Filings. One balancer is killed and restarted, and then another is killed.
-- Packets of every flow passed through all of them. Feeds must continue without a gap and each Filing must run once:
-- balancers keep no state for a flow, and the two ends of a flow resend what was lost.
deploy { services = { { name = "board", count = 3, slots = 5 }, { name = "filing", count = 2, slots = 5 } } }
call { name = "crews", service = "board", load = { feeds = 6, flows = 12, queries_per_second = 40, seconds = 7 } }
call { name = "contractors", service = "filing", seed = 2, load = { filings = 12, filing_bytes = 400000, seconds = 6 } }
waitForEvents("crews", "feedItem", 30)
kill "b1"
waitForEvents("crews", "feedItem", 100)
start "b1"
waitUntilReady()
kill "b2"
waitForEvents("contractors", "requestSent", 12)
callResult "crews"
callResult "contractors"
local summary = check()
expect(summary.broken == 0 and summary.givenUp == 0, "no flow to be cut")
expect(summary.outcomeUnknown == 0, "every outcome to be known")
expect(summary.answeredWhole >= 12 + 200, "Filings and queries to be answered")
