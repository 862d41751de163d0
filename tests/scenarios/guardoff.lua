-- The proof that the checker can see a Filing run twice: agents die in the middle of Filings as in agentkilled.lua, but
-- the callers do not name the earlier owners when they send again, so no agent can ask what became of the first try.
deploy { services = { { name = "filing", count = 3, slots = 5, flags = { filing_ms = 600 } } } }
for number = 1, 3 do
    call { name = "contractors-" .. number, service = "filing", seed = 10 + number, load = {
        filings = 25, filing_bytes = 100000, seconds = 7, name_earlier_owners = "false" } }
end
for round = 1, 3 do
    local upstreamName = "filing-" .. round
    waitForEvents(upstreamName, "upstreamWorkBegan", eventsOf(upstreamName, "upstreamWorkBegan") + 1)
    kill("agent-" .. upstreamName)
    start("agent-" .. upstreamName)
    waitUntilReady()
end
for number = 1, 3 do callResult("contractors-" .. number) end
checkIsBroken "atMostOnce"
