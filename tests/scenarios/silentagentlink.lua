-- The path between the balancers and two agents loses the state of every connection while an upload is in progress and a feed
-- is open: nothing more arrives on these links, while new connections work. Both sides must detect the missing heartbeats and
-- reconnect before any flow is given up; packets that were in flight are resent.
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
