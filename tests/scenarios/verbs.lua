-- Functions for scenarios, built on the actions that the runner offers through perform(name, arguments).

local specsByName = {} -- start arguments of each program, by name
deployment = {}

function now() return perform("now") end
function pump(ms) perform("pump", { ms = ms }) end

-- Waits until the function returns a true value and returns that; fails the scenario after `limit` milliseconds.
function waitFor(what, limit, condition)
    local deadline = now() + limit
    while true do
        local result = condition()
        if result then return result end
        if now() > deadline then error("timed out after " .. limit .. " ms waiting for " .. what, 2) end
        pump(20)
    end
end

function expect(condition, what)
    if not condition then error("expected: " .. what, 2) end
end

local function localAddress(port) return "127.0.0.1:" .. port end

-- Starts a program, or restarts the one that was started under this name.
function start(spec)
    if type(spec) == "string" then spec = specsByName[spec] end
    specsByName[spec.name] = spec
    perform("spawn", spec)
end

local function signal(name, signalName) perform("signal", { name = name, signal = signalName }) end
function kill(name) signal(name, "KILL") end
function freeze(name) signal(name, "STOP") end
function thaw(name) signal(name, "CONT") end
function stop(name) signal(name, "TERM") end

function exitCode(name) return perform("exitCode", { name = name }) end
function waitExit(name, limit)
    return waitFor("the end of " .. name, limit, function() return exitCode(name) end)
end

-- Records the fault of a link for readers of the history only: the checker excuses no violation because of this fault.
local function recordLinkFault(relay, what)
    perform("record", { event = "faultBegan", who = "scenario", process = "relay-" .. relay.id, detail = what })
    perform("record", { event = "faultEnded", who = "scenario", process = "relay-" .. relay.id })
end

function silence(relay)
    recordLinkFault(relay, "silence")
    perform("silence", { id = relay.id })
end

function cut(relay)
    recordLinkFault(relay, "cut")
    perform("cut", { id = relay.id })
end

-- Holds back all traffic of a relay while `held` is true.
function hold(relay, held) perform("hold", { id = relay.id, held = held }) end

-- Sets the faults of the fabric: duplicate and drop (fractions of the packets), delayMs (maximum random delay).
function fabric(faults)
    local reply = perform("http", { port = deployment.fabricControl, method = "POST", path = "/faults", body = faults })
    expect(reply and reply.status == 200, "the fabric to accept the faults")
end

function status(name)
    local reply = perform("http", { port = specsByName[name].admin, path = "/status" })
    return reply and reply.body
end

-- Sets the faults of the platform: down, hang, delayMs, slowFor, loseAnswers. An empty table clears them.
function platform(faults)
    local isBroken = next(faults) ~= nil
    local body = isBroken and faults or { down = false }
    local reply = perform("http", { port = deployment.platform, method = "POST", path = "/faults", body = body })
    expect(reply and reply.status == 200, "the platform to accept the faults")
    perform("record", { event = isBroken and "faultBegan" or "faultEnded", who = "scenario", process = "platform", role = "platform" })
end

-- Sets an upstream's behaviour: slowFactor, sheds, lies, healthy, cold.
function upstream(name, behaviour)
    local reply = perform("http", { port = specsByName[name].port, method = "POST", path = "/control", body = behaviour })
    expect(reply and reply.status == 200, name .. " to change its behaviour")
end

function startChange(change)
    change.platform = deployment.platform
    return perform("change", change)
end

function changeResult(id, limit)
    return waitFor("a change of configuration", limit or 10000, function() return perform("changed", { id = id }) end)
end

local function acceptChange(change)
    local result = changeResult(startChange(change))
    expect(result.outcome == "none", "an accepted change, not " .. result.outcome)
    return result.version
end

-- The deployment's configuration with this queue limit for every service.
function configWithLimit(limit)
    local config = { services = {}, dataCentres = deployment.config.dataCentres }
    for index, service in ipairs(deployment.config.services) do
        config.services[index] = {
            name = service.name, address = service.address, dataCentres = service.dataCentres, slots = service.slots,
            warmUpMs = service.warmUpMs, queueLimit = limit,
        }
    end
    return config
end

function apply(config) return acceptChange({ config = config }) end
function takeOut(dataCentre) return acceptChange({ dataCentre = dataCentre, out = true }) end
function bringBack(dataCentre) return acceptChange({ dataCentre = dataCentre, out = false }) end

function waitForVersion(version, names, limit)
    for _, name in ipairs(names) do
        waitFor(name .. " to have version " .. version, limit or 5000, function()
            local seen = status(name)
            return seen and seen.configVersion >= version
        end)
    end
end

-- Starts a caller. The keys of spec.load are flags of standin_caller, with underscores; see its --help.
function call(spec)
    local service = deployment.services[spec.service]
    local args = {
        "--fabric=" .. localAddress(spec.fabric or deployment.fabric), "--name=" .. spec.name,
        "--service=" .. service.address, "--service_name=" .. spec.service,
        "--history=" .. deployment.folder .. "/" .. spec.name .. ".history", "--seed=" .. (spec.seed or 1),
    }
    for flag, value in pairs(spec.load) do table.insert(args, "--" .. flag .. "=" .. tostring(value)) end
    start({ name = spec.name, program = "standin_caller", args = args })
end

local function lastLine(name)
    local lines = perform("lines", { name = name })
    return lines[#lines] or ""
end

-- Waits until a daemon that was told to stop has exited by itself with exit code 0.
function waitLeft(name, limit)
    local code = waitExit(name, limit or 20000)
    expect(code == 0, name .. " to leave with exit code 0, not " .. code)
end

-- Waits until a caller has ended; returns its summary.
function callResult(name, limit)
    expect(waitExit(name, limit or 40000) == 0, name .. " to end with exit code 0")
    local result = perform("parse", { text = lastLine(name) })
    print(name .. ": " .. lastLine(name))
    return result
end

local function eventCount(name, kind)
    local file = io.open(deployment.folder .. "/" .. name .. ".history")
    if not file then return 0 end
    local _, count = file:read("a"):gsub('"event":"' .. kind .. '"', "")
    file:close()
    return count
end

-- Waits until the history of a caller or an upstream holds at least `count` events of a kind.
function waitForEvents(name, kind, count, limit)
    waitFor(count .. " events " .. kind .. " of " .. name, limit or 15000, function() return eventCount(name, kind) >= count end)
end

function eventsOf(name, kind) return eventCount(name, kind) end

local function daemonSettings(spec)
    local settings = {
        role = spec.role, name = spec.name, dataCentre = spec.dataCentre, listen = localAddress(spec.port),
        admin = localAddress(spec.admin), platform = localAddress(spec.platform or deployment.platform),
        heartbeatMs = 200, linkSilenceMs = 2000, agent = spec.agent,
    }
    return perform("write", { name = spec.name .. ".json", content = settings })
end

local function startDaemon(spec)
    spec.port = spec.port or perform("port")
    spec.admin = perform("port")
    spec.program = "kingcuptraild"
    spec.args = { "--settings=" .. daemonSettings(spec) }
    start(spec)
    table.insert(deployment.daemons, spec.name)
end

local function startUpstream(name, service, dataCentre, options)
    local port = perform("port")
    local args = {
        "--listen=" .. localAddress(port), "--name=" .. name, "--service=" .. service, "--data_centre=" .. dataCentre,
        "--history=" .. deployment.folder .. "/" .. name .. ".history", "--slots=" .. options.slots, "--feed_ms=100",
    }
    for flag, value in pairs(options.flags or {}) do table.insert(args, "--" .. flag .. "=" .. tostring(value)) end
    start({ name = name, program = "standin_upstream", port = port, role = "upstream", upstream = name, dataCentre = dataCentre, args = args })
    local agentPort = perform("port")
    local relay = options.relays and perform("relay", { to = agentPort })
    deployment.relays[name] = relay or nil
    startDaemon({
        name = "agent-" .. name, role = "agent", upstream = name, dataCentre = dataCentre, port = agentPort,
        agent = {
            upstreamName = name, service = service, upstream = localAddress(port),
            announce = relay and localAddress(relay.port) or nil,
            leaseMs = 3000, drainIdleMs = 500, drainLimitMs = 30000,
        },
    })
end

-- For each balancer, whether the fabric sends it packets.
function balancersUp()
    local reply = perform("http", { port = deployment.fabricControl, path = "/status" })
    return reply and reply.body.balancersUp or {}
end

local function isReady()
    local up = balancersUp()
    for index = 1, #deployment.balancers do
        if not up[index] then return false end
    end
    for _, name in ipairs(deployment.balancers) do
        local seen = status(name)
        if not seen or #seen.members < deployment.upstreamCount then return false end
        for _, member in ipairs(seen.members) do
            -- An agent whose upstream does not listen yet reports that it drains, and gets no flows until it serves.
            if not member.linked or not member.announced or member.state ~= "serving" then return false end
        end
    end
    return true
end

function waitUntilReady(limit) waitFor("every daemon to be linked and every upstream to serve", limit or 15000, isReady) end

-- Starts the fabric with balancers at these ports.
local function startFabric(ports)
    deployment.fabric = perform("port")
    deployment.fabricControl = perform("port")
    local balancers = {}
    for _, port in ipairs(ports) do table.insert(balancers, localAddress(port)) end
    start({ name = "fabric", program = "standin_fabric", args = {
        "--listen=" .. localAddress(deployment.fabric), "--control=" .. localAddress(deployment.fabricControl),
        "--balancers=" .. table.concat(balancers, ","), "--seed=1",
    } })
end

-- Starts a whole deployment and returns when every daemon is linked and every upstream serves. spec.services lists services with name, count, slots and
-- flags of their upstreams, which are distributed over the data centres in turn. spec.relays puts a relay in front of each
-- balancer, a service's relays one in front of each of its agents; spec.slowPlatform names the balancer that reaches the
-- platform through a relay.
function deploy(spec)
    deployment = {
        folder = perform("folder"), platform = perform("port"), services = {}, dataCentres = spec.dataCentres or { "north", "south", "east" },
        daemons = {}, balancers = {}, relays = {}, upstreamCount = 0,
    }
    start({ name = "platform", program = "standin_platform", role = "platform", args = { "--listen=" .. localAddress(deployment.platform) } })
    waitFor("the platform", 5000, function() return perform("http", { port = deployment.platform, path = "/calls" }) end)
    local config = { services = {}, dataCentres = {} }
    for _, name in ipairs(deployment.dataCentres) do table.insert(config.dataCentres, { name = name }) end
    local number = 0
    for _, service in ipairs(spec.services) do
        number = number + 1
        service.address = "10.0.0." .. number .. ":443"
        deployment.services[service.name] = service
        table.insert(config.services, {
            name = service.name, address = service.address, dataCentres = deployment.dataCentres, slots = service.slots,
            warmUpMs = service.warmUpMs or 500,
        })
    end
    deployment.config = config
    apply(config)
    for _, service in ipairs(spec.services) do
        for index = 1, service.count do
            local dataCentre = deployment.dataCentres[(index - 1) % #deployment.dataCentres + 1]
            startUpstream(service.name .. "-" .. index, service.name, dataCentre, service)
            deployment.upstreamCount = deployment.upstreamCount + 1
        end
    end
    local ports = {}
    for index = 1, spec.balancers or 3 do
        local name = "b" .. index
        local relay = spec.slowPlatform == name and perform("relay", { to = deployment.platform })
        deployment.relays.platform = relay or deployment.relays.platform
        startDaemon({
            name = name, role = "balancer", platform = relay and relay.port,
            dataCentre = deployment.dataCentres[(index - 1) % #deployment.dataCentres + 1],
        })
        table.insert(deployment.balancers, name)
        local port = specsByName[name].port
        if spec.relays then
            deployment.relays[name] = perform("relay", { to = port })
            port = deployment.relays[name].port
        end
        table.insert(ports, port)
    end
    startFabric(ports)
    waitUntilReady()
end

local function runCheck(options)
    pump(100)
    local result = perform("check", options or {})
    local summary = result.summary
    print(("flows %d broken %d givenUp %d requests %d whole %d notRun %d unknown %d doubleRuns %d misrouted %d"):format(
        summary.flows, summary.broken, summary.givenUp, summary.requests, summary.answeredWhole, summary.refusedNotRun,
        summary.outcomeUnknown, summary.doubleRuns, summary.misrouted))
    return result.violations, summary
end

-- Checks the history of the whole run and returns its summary; fails the scenario when a promise was broken.
function check(options)
    local violations, summary = runCheck(options)
    if #violations > 0 then error(#violations .. " violations\n" .. table.concat(violations, "\n"), 2) end
    return summary
end

-- The number of non-idempotent requests that have run twice so far, according to the checker.
function doubleRunsSoFar() return perform("check", {}).summary.doubleRuns end

-- For runs with a guard disabled: fails the scenario unless the checker reports this promise as broken.
function checkIsBroken(promise, options)
    for _, violation in ipairs((runCheck(options))) do
        if violation:find(promise, 1, true) == 1 then return end
    end
    error("the checker did not report promise " .. promise .. " as broken", 2)
end
