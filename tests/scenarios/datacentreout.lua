-- A data centre is taken out of service while feeds are open and Filings are being uploaded there, its upstreams are
-- restarted, and it is brought back while they are still cold. Flows that end there must be reported as given up, each
-- request with its true outcome; flows of other data centres must be unaffected; no opening may reach the data centre while
-- it is out; cold upstreams must get no more than they can serve.
deploy { services = {
    { name = "board", count = 6, slots = 5, warmUpMs = 4000, flags = { cold_for_ms = 2000 } },
    { name = "filing", count = 3, slots = 5, warmUpMs = 4000, flags = { filing_ms = 300, cold_for_ms = 2000 } },
} }
call { name = "crews", service = "board", load = { feeds = 12, flows = 12, queries_per_second = 60, seconds = 14 } }
call { name = "contractors", service = "filing", seed = 3, load = { filings = 40, filing_bytes = 1000000, seconds = 13 } }
waitForEvents("crews", "feedItem", 200)
waitForEvents("filing-1", "upstreamWorkBegan", 1)
local out = takeOut "north"
waitForVersion(out, deployment.daemons)
waitForEvents("contractors", "requestSent", 25)
for _, name in ipairs { "board-1", "board-4", "filing-1" } do
    kill(name)
    start(name)
end
local back = bringBack "north"
waitForVersion(back, deployment.daemons)
callResult "crews"
callResult "contractors"
local summary = check()
expect(summary.broken == 0, "no flow to be cut other than those given up")
expect(summary.givenUp > 0, "flows of the data centre to be given up")
