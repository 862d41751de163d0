-- Shows that the checker detects a request that ran twice. Agents are killed in the middle of uploads as in agentkilled.lua,
-- but the callers do not name the earlier owners when they retry, so no agent can query the outcome of the first attempt.
-- Whether a kill hits an upload, and whether that caller still has retry budget, is random; kills are repeated until one
-- request has run twice.
deploy { services = { { name = "filing", count = 3, slots = 5, flags = { filing_ms = 600 } } } }
for number = 1, 6 do
    call { name = "contractors-" .. number, service = "filing", seed = 10 + number, load = {
        filings = 150, filing_bytes = 100000, seconds = 60, name_earlier_owners = "false" } }
end
local rounds = 0
repeat
    rounds = rounds + 1
    local upstreamName = "filing-" .. (rounds % 3 + 1)
    waitForEvents("contractors-1", "answerWhole", eventsOf("contractors-1", "answerWhole") + 3)
    waitForEvents(upstreamName, "upstreamWorkBegan", eventsOf(upstreamName, "upstreamWorkBegan") + 1)
    kill("agent-" .. upstreamName)
    start("agent-" .. upstreamName)
    waitUntilReady()
until doubleRunsSoFar() > 0 or rounds == 25
for number = 1, 6 do kill("contractors-" .. number) end
checkIsBroken "atMostOnce"
