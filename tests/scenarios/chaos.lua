-- Overlapping random failures: balancers, agents with their upstreams, and the platform with its operators each have their own
-- sequence of failures, drawn from the seed. At least one balancer works at any time. Whatever failures coincide, end users may
-- lose only flows and requests at an upstream that failed or was taken out of service, and every promise must hold.
math.randomseed(seed)
local runFor = 16000
deploy { relays = true, services = {
    { name = "board", count = 6, slots = 5, relays = true, warmUpMs = 3000, flags = { cold_for_ms = 1000 } },
    { name = "filing", count = 3, slots = 5, relays = true, warmUpMs = 3000, flags = { cold_for_ms = 1000, filing_ms = 300 } },
} }
call { name = "crews", service = "board", seed = seed, load = { feeds = 12, flows = 12, queries_per_second = 60, seconds = runFor / 1000 + 4 } }
for number = 1, 2 do
    call { name = "contractors-" .. number, service = "filing", seed = 100 * seed + number, load = {
        filings = 30, filing_bytes = 200000, seconds = runFor / 1000 + 4 } }
end

-- With every second seed the fabric also duplicates, drops and delays packets.
if seed % 2 == 0 then fabric { duplicate = 0.05, drop = 0.02, delayMs = 10 } end

local function sleep(from, to)
    local wakeAt = now() + math.random(from, to)
    while now() < wakeAt do coroutine.yield() end
end

-- Yields until the condition holds, for 10000 ms at most; a condition that never holds is left to the final checks.
local function waitOrTimeOut(condition)
    local deadline = now() + 10000
    while not condition() and now() < deadline do coroutine.yield() end
end

local function pick(list) return list[math.random(#list)] end
local function isUp(name) return function() return status(name) ~= nil end end

local function upstreamNames()
    local names = {}
    for _, service in ipairs { "board", "filing" } do
        for index = 1, deployment.services[service].count do table.insert(names, service .. "-" .. index) end
    end
    return names
end

local balancerFailures = {
    function(name) kill(name) sleep(200, 1500) start(name) end,
    function(name) freeze(name) sleep(500, 3500) thaw(name) end,
    function(name) stop(name) waitOrTimeOut(function() return exitCode(name) end) start(name) end,
    function(name) silence(deployment.relays[name]) sleep(2500, 3500) end,
    function(name) cut(deployment.relays[name]) end,
}

local upstreamFailures = {
    function(name) kill("agent-" .. name) sleep(100, 1500) start("agent-" .. name) waitOrTimeOut(isUp("agent-" .. name)) end,
    function(name) freeze("agent-" .. name) sleep(300, 5000) thaw("agent-" .. name) end,
    function(name) kill(name) sleep(0, 500) start(name) end,
    function(name) silence(deployment.relays[name]) sleep(2500, 4000) end,
    function(name) cut(deployment.relays[name]) end,
}

local platformFailures = {
    function() platform { down = true } sleep(500, 4000) platform {} end,
    function() platform { down = true, hang = true } sleep(500, 4000) platform {} end,
    function() platform { delayMs = 300 } sleep(500, 3000) platform {} end,
    function()
        local dataCentre = pick(deployment.dataCentres)
        for _, out in ipairs { true, false } do
            local id
            -- Retries until the change is accepted, as an operator would.
            waitOrTimeOut(function()
                id = id or startChange { dataCentre = dataCentre, out = out }
                local result = perform("changed", { id = id })
                if result and result.outcome ~= "none" then id = nil end
                return result and result.outcome == "none"
            end)
            sleep(1500, 5000)
        end
    end,
}

local endAt = now() + runFor

local function failureLoop(failures, name)
    return coroutine.create(function()
        while now() < endAt do
            pick(failures)(name())
            sleep(100, 1200)
        end
    end)
end

local failureLoops = {
    failureLoop(balancerFailures, function() return pick(deployment.balancers) end),
    failureLoop(upstreamFailures, function() return pick(upstreamNames()) end),
    failureLoop(platformFailures, function() end),
}
while #failureLoops > 0 do
    for index = #failureLoops, 1, -1 do
        local ok, message = coroutine.resume(failureLoops[index])
        if not ok then error(message) end
        if coroutine.status(failureLoops[index]) == "dead" then table.remove(failureLoops, index) end
    end
    pump(20)
end
callResult "crews"
for number = 1, 2 do callResult("contractors-" .. number) end
expect(check().doubleRuns == 0, "no Filing to run twice")
