-- An agent is paused with requests in its queue and in its sockets. Meanwhile operators take its data centre out. When it
-- goes on it has not read the news yet: what waited there must not reach the upstream any more. One of several pauses
-- falls so that the upstream would be handed its queue within milliseconds.
deploy { services = { { name = "board", count = 3, slots = 5, flags = { query_ms = 60 } } } }
call { name = "crews", service = "board", load = { flows = 30, queries_per_second = 220, seconds = 14 } }
waitForEvents("crews", "answerWhole", 200)
for _, dataCentre in ipairs { "north", "south" } do
    local name = dataCentre == "north" and "agent-board-1" or "agent-board-2"
    freeze(name)
    waitForEvents("crews", "answerWhole", eventsOf("crews", "answerWhole") + 20)
    takeOut(dataCentre)
    pump(3300)
    thaw(name)
    waitForVersion(bringBack(dataCentre), { name })
end
callResult "crews"
check()
