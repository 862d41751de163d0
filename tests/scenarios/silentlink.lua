-- A device between the fabric and two balancers loses its connection state: bytes of the existing connections are dropped
-- without a reset, while new connections work. A packet sent on such a link is lost. Both ends must detect the missing
-- heartbeats and reconnect, and no feed, query or Filing may be lost. Later one link is also cut by a reset.
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
