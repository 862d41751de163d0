-- Two operators change the configuration at the same time, and the platform's answer to a write is lost after the write took
-- effect. At least one change must succeed, which its operator finds out by reading the configuration back; a change that does
-- not succeed must be reported as a conflict, with the version that it conflicted with. Every daemon must end with the newest
-- version and never go back to an older one.
deploy { services = { { name = "board", count = 3, slots = 5 } } }
call { name = "crews", service = "board", load = { feeds = 6, flows = 6, queries_per_second = 30, seconds = 5 } }
waitForEvents("crews", "feedItem", 20)
local newest = 0
for round = 1, 3 do
    platform { loseAnswers = 1 }
    local changes = { startChange { config = configWithLimit(10 + round) }, startChange { config = configWithLimit(20 + round) } }
    local won, before = 0, newest
    for _, id in ipairs(changes) do
        local result = changeResult(id, 20000)
        if result.outcome == "none" then won = won + 1 end
        expect(result.outcome == "none" or result.outcome == "conflict", "an accepted change or a conflict, not " .. result.outcome)
        expect(result.version > before, "a newer version")
        newest = math.max(newest, result.version)
    end
    expect(won >= 1, "at least one change to be accepted")
    platform {}
    waitForVersion(newest, deployment.daemons)
end
callResult "crews"
local summary = check()
expect(summary.broken == 0 and summary.givenUp == 0, "no flow to be cut")
