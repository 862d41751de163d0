-- Something between the fabric and two of the balancers loses track of their connections: bytes vanish without a reset,
-- while new connections work. A packet handed to such a link is gone. The missing heartbeats must show it, the links
-- must be made again, and no feed, query or Filing may be lost for it. Later a link is cut by a reset as well.
deploy { relays = true, services = { { name = "board", count = 3, slots = 5 }, { name = "filing", count = 2, slots = 5 } } }
call { name = "crews", service = "board", load = { feeds = 6, flows = 6, queries_per_second = 30, seconds = 10 } }
call { name = "contractors", service = "filing", seed = 6, load = { filings = 20, filing_bytes = 300000, seconds = 10 } }
waitForEvents("crews", "feedItem", 30)
silence(deployment.relays.b1)
silence(deployment.relays.b2)
waitForEvents("contractors", "requestSent", 14)
cut(deployment.relays.b3)
callResult "crews"
callResult "contractors"
waitUntilReady()
local summary = check()
expect(summary.broken == 0 and summary.givenUp == 0, "no flow to be cut")
expect(summary.outcomeUnknown == 0, "every outcome to be known")
