-- The path between the balancers and two agents loses track of every connection at once: an upload is at work there, a
-- feed is open, and nothing is ever heard on these links again, while new ones work. The missing heartbeats must show it
-- on both sides and the links be made again before any flow is given up; what was on its way is sent again.
deploy { services = {
    { name = "board", count = 3, slots = 5, relays = true },
    { name = "filing", count = 2, slots = 5, relays = true, flags = { filing_ms = 400 } },
} }
call { name = "crews", service = "board", load = { feeds = 9, flows = 9, queries_per_second = 30, seconds = 11, query_deadline_ms = 6000 } }
call { name = "contractors", service = "filing", seed = 9, load = { filings = 24, filing_bytes = 600000, seconds = 11 } }
waitForEvents("crews", "feedItem", 50)
silence(deployment.relays["board-1"])
silence(deployment.relays["filing-1"])
waitForEvents("contractors", "requestSent", 13)
silence(deployment.relays["filing-2"])
cut(deployment.relays["board-2"])
callResult "crews"
callResult "contractors"
waitUntilReady()
local summary = check()
expect(summary.broken == 0 and summary.givenUp == 0, "no flow to be cut")
expect(summary.outcomeUnknown == 0, "every outcome to be known")
