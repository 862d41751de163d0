-- Two operators change the configuration at the same time, and the platform's answer to a write is lost after the write took
-- effect. At least one of them must succeed and learn it by reading back; the other must be told that its write conflicted,
-- and with which version. Every daemon must end with the newest version and never go back to an older one.
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
        expect(result.outcome == "none" or result.outcome == "conflict", "a win or a conflict, not " .. result.outcome)
        expect(result.version > before, "a newer version")
        newest = math.max(newest, result.version)
    end
    expect(won >= 1, "an operator to win")
    platform {}
    waitForVersion(newest, deployment.daemons)
end
callResult "crews"
local summary = check()
expect(summary.broken == 0 and summary.givenUp == 0, "no flow to be cut")
