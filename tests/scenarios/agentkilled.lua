-- An agent is killed in the middle of Filings and restarts with an empty ledger. The callers resend the interrupted requests
-- on new flows, at the agents that accept these. A Filing that its upstream had begun must not run a second time; its caller
-- must be told that the outcome is unknown. Feeds at that upstream are lost, those at other upstreams are not.
deploy { services = { { name = "board", count = 3, slots = 5 }, { name = "filing", count = 3, slots = 5, flags = { filing_ms = 600 } } } }
call { name = "crews", service = "board", load = { feeds = 6, flows = 6, queries_per_second = 30, seconds = 10 } }
for number = 1, 3 do
    call { name = "contractors-" .. number, service = "filing", seed = 10 + number, load = { filings = 25, filing_bytes = 100000, seconds = 9 } }
end
waitForEvents("crews", "feedItem", 30)

-- Waits for an upstream to begin a Filing and returns its name. Upstreams whose agent was killed before are accepted only
-- after 1500 ms, because which upstreams get Filings depends on where the callers' flows were placed.
local killed = {}
local function upstreamThatBegins()
    local begun, since = {}, now()
    for index = 1, 3 do begun["filing-" .. index] = eventsOf("filing-" .. index, "upstreamWorkBegan") end
    return waitFor("a Filing to begin", 15000, function()
        for index = 1, 3 do
            local name = "filing-" .. index
            local mayBeTaken = not killed[name] or now() - since > 1500
            if mayBeTaken and eventsOf(name, "upstreamWorkBegan") > begun[name] then return name end
        end
    end)
end

for _ = 1, 3 do
    local upstreamName = upstreamThatBegins()
    killed[upstreamName] = true
    kill("agent-" .. upstreamName)
    start("agent-" .. upstreamName)
    waitUntilReady()
end
kill "agent-board-2"
start "agent-board-2"
callResult "crews"
for number = 1, 3 do callResult("contractors-" .. number) end
local summary = check()
expect(summary.doubleRuns == 0, "no Filing to run twice")
