#include "deployment.h"

#include <algorithm>
#include <asio/ip/udp.hpp>
#include <csignal>
#include <cstdlib>
#include <random>
#include <unistd.h>

namespace review {

using namespace kingcuptrail;
using nlohmann::json;

namespace {

    /// As the deploy file names it, from the repository's root.
    constexpr const char* program = "target/src/kingcuptraild/kingcuptraild";

    constexpr Millis probeInterval = 500;
    constexpr int missesUntilOut = 2;
    constexpr Millis graceTime = 6000;
    constexpr int flowLifetimeSeconds = 60;
    constexpr int toleratedZones = 1;
    constexpr std::uint16_t routePort = 443;

    std::string text(const asio::ip::address_v4& address, std::uint16_t port)
    {
        return address.to_string() + ":" + std::to_string(port);
    }

    bool isFree(const asio::ip::address_v4& address, std::uint16_t port)
    {
        asio::io_context context;
        asio::error_code error;
        asio::ip::tcp::acceptor acceptor(context);
        acceptor.open(asio::ip::tcp::v4(), error);
        acceptor.bind({ address, port }, error);
        if (error)
            return false;
        asio::ip::udp::socket socket(context);
        socket.open(asio::ip::udp::v4(), error);
        socket.bind({ address, port }, error);
        return !error;
    }

    std::uint64_t mix(std::uint64_t value)
    {
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
        return value ^ (value >> 31);
    }

}

Deployment::Deployment(asio::io_context& context, const DeploymentOptions& options, TargetEvents targetEvents, Record& record)
    : m_context(context)
    , m_options(options)
    , m_targetEvents(std::move(targetEvents))
    , m_record(record)
    , m_block(16 + static_cast<std::uint32_t>(getpid()) % 20000)
    , m_readyTimer(context)
{
}

Deployment::~Deployment()
{
    for (const auto& machine : m_machines) {
        if (machine->probe)
            machine->probe->cancel();
    }
}

// A block of 256 loopback addresses for each run.
asio::ip::address_v4 Deployment::addressOf(std::uint32_t number) const
{
    constexpr std::uint32_t firstBlock = 0x7f010000;
    return asio::ip::address_v4(firstBlock + m_block * 256 + number);
}

bool Deployment::choosePorts()
{
    constexpr int tries = 50;
    std::mt19937 random { static_cast<unsigned>(getpid()) };
    for (int tried = 0; tried < tries; ++tried) {
        const auto first = static_cast<std::uint16_t>(21000 + random() % 9000);
        m_ports = { .datagram = first, .ready = static_cast<std::uint16_t>(first + 1), .control = static_cast<std::uint16_t>(first + 2), .outbound = static_cast<std::uint16_t>(first + 3), .app = static_cast<std::uint16_t>(first + 4), .internal = static_cast<std::uint16_t>(first + 5), .metrics = static_cast<std::uint16_t>(first + 6) };
        bool areFree = true;
        for (std::uint16_t offset = 0; offset < 7; ++offset)
            areFree = areFree && isFree(addressOf(11), static_cast<std::uint16_t>(first + offset));
        if (areFree)
            return true;
    }
    return false;
}

End Deployment::route(std::uint32_t number) const
{
    return { .address = addressOf(230 + number).to_uint(), .port = routePort };
}

bool Deployment::start()
{
    if (!choosePorts())
        return false;
    m_store = std::make_unique<Store>(m_context, asio::ip::tcp::endpoint { asio::ip::address_v4::loopback(), 0 }, m_record);
    DatagramError error = DatagramError::None;
    m_router = DatagramSocket::open(
        m_context, { addressOf(1), 0 }, [](std::span<std::uint8_t>, const asio::ip::udp::endpoint&) {}, error);
    if (!m_store->isListening() || !m_router)
        return false;
    configure({});
    std::uint32_t number = 11;
    for (const std::string& zone : m_options.zones) {
        const bool isFirst = zone == m_options.zones.front() && m_options.frontsInFirstZone > 0;
        for (std::uint32_t index = 0; index < (isFirst ? m_options.frontsInFirstZone : m_options.frontsPerZone); ++index)
            addMachine(zone, "", number++);
        for (const std::string& service : m_options.targets)
            addMachine(zone, service, number++);
    }
    bool areStarted = true;
    for (const auto& machine : m_machines) {
        areStarted = startProcess(*machine) && areStarted;
        if (machine->target)
            areStarted = machine->target->boot() && areStarted;
    }
    pollReady();
    return areStarted;
}

void Deployment::configure(const std::set<std::uint32_t>& dropped)
{
    const std::set<std::string> services(m_options.targets.begin(), m_options.targets.end());
    json routes = json::array();
    json serviceList = json::array();
    std::uint32_t number = 0;
    const auto addRoute = [&](const std::string& service) {
        const asio::ip::address_v4 host(route(number).address);
        if (!dropped.contains(number))
            routes.push_back({ { "name", "r-" + std::to_string(number) }, { "host", host.to_string() }, { "path-prefix", "/" + std::to_string(routePort) + "/" }, { "kind", "non_idempotent" }, { "timeout-ms", 4000 }, { "aim-ms", 250 }, { "priority", 1 }, { "attempts", 1 }, { "service", service } });
        ++number;
    };
    for (const std::string& service : services) {
        addRoute(service);
        serviceList.push_back({ { "name", service }, { "health-path", "/health" }, { "max-conns", 2000 }, { "warmup-s", 2.0 }, { "warmup-per-s", 0 } });
    }
    for (std::uint32_t index = 0; index < m_options.furtherRoutes; ++index)
        addRoute(*services.begin());
    m_version += 3;
    m_store->write("config", "main", { { "version", m_version }, { "routes", routes }, { "services", serviceList }, { "limits", { { "idle-timeout-ms", 15000 } } } });
}

void Deployment::addMachine(const std::string& zone, const std::string& service, std::uint32_t number)
{
    auto machine = std::make_unique<Machine>();
    machine->name = (service.empty() ? "front-" : "side-") + zone + "-" + std::to_string(number);
    machine->zone = zone;
    machine->service = service;
    machine->address = addressOf(number);
    machine->settingsPath = m_options.folder + "/" + machine->name + ".json";
    machine->storeLink = std::make_unique<Relay>(m_context, m_store->endpoint().port());
    machine->timer = std::make_unique<Delay>(m_context);
    if (!service.empty()) {
        TargetOptions options { .host = machine->name, .service = service, .zone = zone, .address = machine->address, .appPort = m_ports.app, .outboundPort = m_ports.outbound, .controlPort = m_ports.control, .slots = m_options.slots, .work = m_options.work, .heartbeat = m_options.heartbeat, .reportRetry = m_options.reportRetry };
        machine->target = std::make_unique<Target>(m_context, std::move(options), m_targetEvents, m_record, m_options.seed * 100 + number);
    }
    writeSettings(*machine);
    m_machines.push_back(std::move(machine));
}

// The fields of platform/balancer.json.in and platform/agent.json.in, filled as the platform fills them.
void Deployment::writeSettings(const Machine& machine) const
{
    json seeds = json::array();
    for (const std::uint32_t number : m_options.seeds)
        seeds.push_back(text(addressOf(number), m_ports.control));
    json packets {
        { "ingress", text(machine.address, m_ports.datagram) },
        { "ready", text(machine.address, m_ports.ready) },
        { "addressReuseSeconds", 2 },
        { "leaveSeconds", graceTime / 1000 },
        { "seeds", seeds },
    };
    if (machine.isFront())
        packets["linkMegabits"] = 1000.0;
    else
        packets.update({ { "outbound", text(machine.address, m_ports.outbound) }, { "control", text(machine.address, m_ports.control) }, { "upstream", text(machine.address, m_ports.app) } });
    const json settings {
        { "role", machine.isFront() ? "packetBalancer" : "packetAgent" },
        { "name", machine.name },
        { "dataCentre", machine.zone },
        { "listen", text(machine.address, m_ports.internal) },
        { "admin", text(machine.address, m_ports.metrics) },
        { "platform", "127.0.0.1:" + std::to_string(machine.storeLink->port()) },
        { "logFormat", "json" },
        { "packets", packets },
    };
    std::ofstream(machine.settingsPath) << settings.dump(2);
}

bool Deployment::startProcess(Machine& machine)
{
    setenv("KINGCUPTRAIL_NODE_FILE", machine.settingsPath.c_str(), 1);
    setenv("KINGCUPTRAIL_TOLERATED_LOSSES", std::to_string(toleratedZones).c_str(), 1);
    setenv("KINGCUPTRAIL_FLOW_LIFETIME_S", std::to_string(flowLifetimeSeconds).c_str(), 1);
    setenv("KINGCUPTRAIL_REPORT_INTERVAL_MS", std::to_string(m_options.heartbeat).c_str(), 1);
    const auto log = std::make_shared<std::ofstream>(m_options.folder + "/" + machine.name + ".log", std::ios::app);
    machine.process = ChildProcess::start(m_context, program, {}, [log](const std::string& line) { *log << line << std::endl; });
    machine.isEnding = false;
    machine.disturbedAt = m_record.now();
    return machine.process != nullptr;
}

Machine& Deployment::machine(const std::string& name)
{
    return **std::ranges::find(m_machines, name, [](const auto& machine) { return machine->name; });
}

Requester& Deployment::addRequester(const std::string& zone, const std::function<void(const Flow&)>& onSystemReset)
{
    const auto number = static_cast<std::uint32_t>(200 + m_requesters.size());
    RequesterEvents events {
        .route = [this, zone](const Flow& flow, std::span<const std::uint8_t> bytes) { route(zone, flow, bytes); },
        .onSystemReset = onSystemReset,
    };
    m_requesters.push_back(std::make_unique<Requester>(m_context, addressOf(number), m_ports.datagram, std::move(events), m_record, m_options.seed * 1000 + number));
    return *m_requesters.back();
}

// Two probes a second. After two misses a daemon gets no packets until it answers with 200 again.
void Deployment::pollReady()
{
    for (const auto& machine : m_machines) {
        if (!machine->isFront())
            continue;
        if (machine->probe)
            machine->probe->cancel();
        ++machine->missedProbes;
        HttpCall::Handlers handlers;
        handlers.onDone = [polled = machine.get()](const std::optional<HttpResponse>& response, const HttpOutcome&) {
            if (response && response->status == 200)
                polled->missedProbes = 0;
        };
        machine->probe = startHttpCall(m_context, { machine->address, m_ports.ready }, { .target = "/ready" }, { .connectTimeout = 400, .timeout = 450 }, std::move(handlers));
    }
    m_readyTimer.start(probeInterval, [this] { pollReady(); });
}

bool Deployment::allReady() const
{
    return std::ranges::all_of(m_machines, [](const auto& machine) { return !machine->isFront() || machine->missedProbes <= 1; });
}

void Deployment::route(const std::string& zone, const Flow& flow, std::span<const std::uint8_t> bytes)
{
    const Machine* chosen = nullptr;
    std::uint64_t best = 0;
    bool isBestReady = false;
    for (const auto& machine : m_machines) {
        if (!machine->isFront())
            continue;
        const bool isReady = machine->missedProbes <= missesUntilOut;
        const bool isHere = machine->zone == zone;
        const std::uint64_t weight = mix(mix(machine->address.to_uint()) ^ mix((std::uint64_t { flow.requester.address } << 16) + flow.requester.port) ^ (std::uint64_t { flow.route.address } << 16)) / 4 + (isHere ? std::uint64_t { 1 } << 63 : 0);
        if (!chosen || isReady > isBestReady || (isReady == isBestReady && weight > best)) {
            chosen = machine.get();
            best = weight;
            isBestReady = isReady;
        }
    }
    m_router->send(bytes, { chosen->address, m_ports.datagram });
}

void Deployment::kill(Machine& machine)
{
    m_record.add(machine.name + ": its process is killed");
    machine.isEnding = true;
    machine.disturbedAt = m_record.now();
    machine.process->signal(SIGKILL);
}

void Deployment::losePower(const std::string& zone)
{
    m_record.add("zone " + zone + " loses power");
    for (const auto& machine : m_machines) {
        if (machine->zone == zone)
            remove(*machine);
    }
}

void Deployment::remove(Machine& machine)
{
    m_record.add(machine.name + " is dark");
    machine.isDark = true;
    machine.isEnding = true;
    machine.disturbedAt = m_record.now();
    machine.process->signal(SIGKILL);
    if (machine.target)
        machine.target->crash();
}

bool Deployment::reuseAddress(Machine& machine, const std::string& name, const std::string& service)
{
    m_record.add(name + " of " + service + " gets the address of " + machine.name);
    machine.name = name;
    machine.service = service;
    machine.settingsPath = m_options.folder + "/" + name + ".json";
    machine.isDark = false;
    writeSettings(machine);
    machine.target->changeMachine(name, service);
    return startProcess(machine) && machine.target->boot();
}

void Deployment::terminate(Machine& machine)
{
    m_record.add(machine.name + ": SIGTERM");
    machine.isEnding = true;
    machine.disturbedAt = m_record.now();
    machine.process->signal(SIGTERM);
    machine.timer->start(graceTime, [&machine] {
        if (machine.process)
            machine.process->signal(SIGKILL);
    });
}

std::vector<std::string> Deployment::checkProcesses()
{
    std::vector<std::string> ended;
    for (const auto& machine : m_machines) {
        if (!machine->process || !machine->process->exitCode())
            continue;
        m_record.add(machine->name + ": its process has ended with " + std::to_string(*machine->process->exitCode()));
        if (!machine->isEnding)
            ended.push_back(machine->name);
        machine->process.reset();
        machine->disturbedAt = m_record.now();
        if (machine->isDark)
            continue;
        machine->timer->start(m_options.restartDelay, [this, restarted = machine.get()] {
            m_record.add(restarted->name + ": its process is started again");
            startProcess(*restarted);
        });
    }
    return ended;
}

void Deployment::runFor(Millis time)
{
    constexpr Millis step = 10;
    const Millis until = m_record.now() + time;
    while (m_record.now() < until) {
        m_context.restart();
        m_context.run_for(std::chrono::milliseconds(std::min(step, until - m_record.now())));
        for (const std::string& name : checkProcesses())
            m_record.add(name + ": its process ended by itself");
    }
}

}
