-- Two upstreams are to be replaced: their agents get SIGTERM while feeds are open and a Filing is being processed. A balancer
-- is killed in the same second, so the other balancers receive the two agents' draining state at different times. After a few
-- seconds no new flow may reach the leaving agents; their remaining work must complete before they exit by themselves.
deploy { services = { { name = "board", count = 3, slots = 5 }, { name = "filing", count = 2, slots = 5, flags = { filing_ms = 800 } } } }
call { name = "crews", service = "board", load = { feeds = 9, flows = 9, queries_per_second = 30, seconds = 9 } }
call { name = "contractors", service = "filing", seed = 2, load = { filings = 30, filing_bytes = 100000, seconds = 9 } }
waitForEvents("crews", "feedItem", 40)
waitForEvents("filing-1", "upstreamWorkBegan", 1)
stop "agent-filing-1"
stop "agent-board-1"
kill "b2"
waitForEvents("contractors", "requestSent", 25)
start "b2"
callResult "crews"
callResult "contractors"
waitLeft "agent-board-1"
waitLeft "agent-filing-1"
local summary = check()
expect(summary.broken == 0 and summary.givenUp == 0, "no flow to be cut")
expect(summary.outcomeUnknown == 0, "every outcome to be known")
