#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <fstream>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    constexpr std::uint16_t peerPort = 7720;
    constexpr std::uint16_t adminPort = 9464;
    constexpr std::uint16_t ingressPort = 8172;
    constexpr std::uint16_t readyPort = 8167;
    constexpr std::uint16_t controlPort = 8166;
    constexpr std::uint16_t outboundPort = 8162;
    constexpr std::uint16_t appPort = 8165;

    constexpr Millis readyInterval = 500;
    constexpr int maxUnansweredProbes = 2;
    constexpr Millis terminationGrace = 6000;

    constexpr PacketEndpoint boardAddress { .address = 0xc6120001, .port = 443 };
    constexpr PacketEndpoint intakeAddress { .address = 0xc6120002, .port = 443 };

    std::string endpointText(const asio::ip::address_v4& address, std::uint16_t port)
    {
        return address.to_string() + ":" + std::to_string(port);
    }

    json routeTo(const std::string& host, const std::string& service)
    {
        return { { "name", "r-" + service }, { "host", host }, { "path-prefix", "/443/" }, { "kind", "idempotent" }, { "timeout-ms", 1000 }, { "aim-ms", 150 }, { "priority", 1 }, { "service", service } };
    }

}

Fleet::Fleet(asio::io_context& context, FleetOptions options, PromiseChecker& promises)
    : m_context(context)
    , m_options(std::move(options))
    , m_promises(promises)
    , m_store(context, m_options.seed)
    , m_readyTimer(context)
{
    DatagramError error = DatagramError::None;
    m_router = DatagramSocket::open(
        context, { addressOf(1), 0 }, [](std::span<std::uint8_t>, const asio::ip::udp::endpoint&) {}, error);
    m_promises.allowService(boardAddress, "board");
    m_promises.allowService(intakeAddress, "intake");
    changeConfiguration();
    std::uint32_t number = 0;
    for (const std::string dataCentre : { "north", "south" }) {
        for (std::uint32_t index = 0; index < m_options.balancers; ++index)
            addDaemon(dataCentre, 11 + number++, true, "");
        for (std::uint32_t index = 0; index < m_options.agents; ++index)
            addDaemon(dataCentre, 11 + number++, false, index + 1 < m_options.agents ? "board" : "intake");
    }
    for (std::uint32_t index = 0; index < m_options.callers; ++index) {
        m_callers.push_back(std::make_unique<SoakCaller>(
            context, addressOf(201 + index), ingressPort, std::vector { boardAddress, intakeAddress },
            [this](const FlowKey& flow, std::span<const std::uint8_t> packet) { route(flow, packet); }, promises, m_options.seed * 31 + index, m_options.callerPorts));
    }
    pollReady();
}

Fleet::~Fleet()
{
    for (const auto& daemon : m_daemons) {
        if (daemon->readyCall)
            daemon->readyCall->cancel();
    }
}

// Each seed has its own block of loopback addresses, so that runs with different seeds can run in parallel.
asio::ip::address_v4 Fleet::addressOf(std::uint32_t number) const
{
    constexpr std::uint32_t loopback = 0x7f000000;
    constexpr std::uint32_t block = 65536;
    const std::uint32_t own = 16 + m_options.seed % 200;
    return asio::ip::address_v4(loopback + own * block + number);
}

void Fleet::addDaemon(const std::string& dataCentre, std::uint32_t number, bool isBalancer, const std::string& service)
{
    auto daemon = std::make_unique<SoakDaemon>();
    daemon->name = (isBalancer ? "balancer-" : "agent-") + std::to_string(number);
    daemon->dataCentre = dataCentre;
    daemon->address = addressOf(number);
    daemon->isBalancer = isBalancer;
    daemon->settingsPath = m_options.folder + "/" + daemon->name + ".json";
    daemon->relay = std::make_unique<Relay>(m_context, m_store.openPort(daemon->name, asio::ip::make_address("127.0.0.1")));
    daemon->timer = std::make_unique<Delay>(m_context);
    writeSettings(*daemon);
    start(*daemon);
    if (!isBalancer) {
        UpstreamOptions options { .host = daemon->name, .service = service, .dataCentre = dataCentre, .address = daemon->address, .appPort = appPort, .outboundPort = outboundPort, .controlPort = controlPort };
        m_upstreams.push_back(std::make_unique<SoakUpstream>(m_context, std::move(options), m_promises, m_options.seed + number));
    }
    m_daemons.push_back(std::move(daemon));
}

void Fleet::writeSettings(const SoakDaemon& daemon) const
{
    json packets {
        { "ingress", endpointText(daemon.address, ingressPort) },
        { "ready", endpointText(daemon.address, readyPort) },
        { "seeds", { endpointText(addressOf(11), controlPort), endpointText(addressOf(12), controlPort) } },
        { "leaveSeconds", terminationGrace / 1000 },
        // Half of the seeds run without the detection of lost data centres.
        { "toleratedDataCentreLosses", m_options.seed % 2 },
    };
    if (!daemon.isBalancer) {
        packets["upstream"] = endpointText(daemon.address, appPort);
        packets["outbound"] = endpointText(daemon.address, outboundPort);
        packets["control"] = endpointText(daemon.address, controlPort);
    }
    const json settings {
        { "role", daemon.isBalancer ? "packetBalancer" : "packetAgent" },
        { "name", daemon.name },
        { "dataCentre", daemon.dataCentre },
        { "listen", endpointText(daemon.address, peerPort) },
        { "admin", endpointText(daemon.address, adminPort) },
        { "platform", "127.0.0.1:" + std::to_string(daemon.relay->port()) },
        { "logFormat", "json" },
        { "packets", packets },
    };
    std::ofstream(daemon.settingsPath) << settings.dump(2);
}

void Fleet::start(SoakDaemon& daemon)
{
    const auto log = std::make_shared<std::ofstream>(m_options.folder + "/" + daemon.name + ".log", std::ios::app);
    daemon.process = ChildProcess::start(m_context, m_options.program, { "--settings=" + daemon.settingsPath }, [log](const std::string& line) { *log << line << "\n"; });
    daemon.isEnding = false;
    daemon.isPaused = false;
    daemon.isReplaced = false;
    m_promises.recordDisturbance(daemon.name);
}

void Fleet::scheduleStart(SoakDaemon& daemon, Millis after)
{
    daemon.timer->start(after, [this, &daemon] { start(daemon); });
}

void Fleet::kill(SoakDaemon& daemon, Millis downFor)
{
    if (daemon.isEnding)
        return;
    daemon.isEnding = true;
    m_promises.recordDisturbance(daemon.name);
    daemon.process->signal(SIGKILL);
    scheduleStart(daemon, downFor);
}

void Fleet::terminate(SoakDaemon& daemon)
{
    if (daemon.isEnding || daemon.isPaused)
        return;
    daemon.isEnding = true;
    m_promises.recordDisturbance(daemon.name);
    daemon.process->signal(SIGTERM);
    daemon.timer->start(terminationGrace, [this, &daemon] {
        daemon.process->signal(SIGKILL);
        scheduleStart(daemon, readyInterval);
    });
}

void Fleet::pause(SoakDaemon& daemon, Millis time)
{
    if (daemon.isEnding || daemon.isPaused)
        return;
    daemon.isPaused = true;
    m_promises.recordDisturbance(daemon.name);
    daemon.process->signal(SIGSTOP);
    daemon.timer->start(time, [this, &daemon] {
        daemon.process->signal(SIGCONT);
        daemon.isPaused = false;
        m_promises.recordDisturbance(daemon.name);
    });
}

void Fleet::replaceHost(SoakDaemon& daemon, const HostReplacement& replacement)
{
    constexpr Millis stopTime = 1500;
    SoakUpstream& upstream = *upstreamOf(daemon);
    m_promises.recordDisturbance(daemon.name);
    const bool isPlanned = replacement.isPlanned && daemon.process && !daemon.isPaused;
    daemon.isEnding = true;
    daemon.isReplaced = true;
    daemon.timer->cancel();
    if (daemon.process)
        daemon.process->signal(isPlanned ? SIGTERM : SIGKILL);
    if (isPlanned)
        daemon.timer->start(stopTime, [&daemon] { daemon.process->signal(SIGKILL); });
    const std::string name = "host-" + std::to_string(++m_replacedHosts);
    upstream.replace(replacement.downTime, name, replacement.service, replacement.reportDelay, false, [this, &daemon, name] {
        daemon.name = name;
        daemon.settingsPath = m_options.folder + "/" + name + ".json";
        writeSettings(daemon);
        start(daemon);
    });
}

SoakUpstream* Fleet::upstreamOf(const SoakDaemon& daemon)
{
    const auto found = std::ranges::find(m_upstreams, daemon.name, [](const auto& upstream) { return upstream->options().host; });
    return found != m_upstreams.end() ? found->get() : nullptr;
}

std::size_t Fleet::countUpstreams(const std::string& service) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_upstreams, [&](const auto& upstream) { return !upstream->isReplaced() && upstream->options().service == service; }));
}

void Fleet::takeOut(const std::string& dataCentre)
{
    m_store.write("evacuations", dataCentre, json::object());
    m_promises.recordTakenOut(dataCentre);
}

void Fleet::bringBack(const std::string& dataCentre)
{
    m_promises.recordBroughtBack(dataCentre);
    m_store.remove("evacuations", dataCentre);
}

void Fleet::changeConfiguration()
{
    m_configVersion += 3;
    const json services = { { { "name", "board" }, { "max-conns", 2000 }, { "warmup-s", 1.0 }, { "warmup-per-s", 0.0 } }, { { "name", "intake" }, { "max-conns", 2000 }, { "warmup-s", 1.0 }, { "warmup-per-s", 0.0 } } };
    m_store.write("config", "main", { { "version", m_configVersion }, { "routes", { routeTo("198.18.0.1", "board"), routeTo("198.18.0.2", "intake") } }, { "services", services }, { "limits", { { "idle-timeout-ms", m_idleLimit } } } });
}

void Fleet::changeIdleLimit(Millis limit)
{
    m_idleLimit = limit;
    changeConfiguration();
}

// Probes the readiness of the balancers twice a second. A balancer that has missed two probes gets no packets until it answers
// again.
void Fleet::pollReady()
{
    for (const auto& daemon : m_daemons) {
        if (!daemon->isBalancer)
            continue;
        if (daemon->readyCall)
            daemon->readyCall->cancel();
        ++daemon->unansweredProbes;
        HttpCall::Handlers handlers;
        handlers.onDone = [daemonPointer = daemon.get()](const std::optional<HttpResponse>& response, const HttpOutcome&) {
            if (response && response->status == 200)
                daemonPointer->unansweredProbes = 0;
        };
        daemon->readyCall = startHttpCall(m_context, { daemon->address, readyPort }, { .target = "/ready" }, { .connectTimeout = 300, .timeout = 400 }, std::move(handlers));
    }
    m_readyTimer.start(readyInterval, [this] { pollReady(); });
}

std::vector<SoakDaemon*> Fleet::rotation() const
{
    std::vector<SoakDaemon*> ready;
    std::vector<SoakDaemon*> all;
    for (const auto& daemon : m_daemons) {
        if (!daemon->isBalancer)
            continue;
        all.push_back(daemon.get());
        if (daemon->unansweredProbes <= maxUnansweredProbes)
            ready.push_back(daemon.get());
    }
    return ready.empty() ? all : ready;
}

void Fleet::route(const FlowKey& flow, std::span<const std::uint8_t> packet)
{
    const std::vector<SoakDaemon*> balancers = rotation();
    const auto weightOf = [&flow](const SoakDaemon* daemon) {
        FlowKey mixed = flow;
        mixed.service.address ^= daemon->address.to_uint() * 2654435761U;
        return flowHash(mixed);
    };
    const SoakDaemon* chosen = m_options.isModulo ? balancers[flowHash(flow) % balancers.size()] : *std::ranges::max_element(balancers, {}, weightOf);
    m_router->send(packet, { chosen->address, ingressPort });
}

CallerCounts Fleet::counts() const
{
    CallerCounts sum;
    for (const auto& caller : m_callers) {
        sum.flowsTried += caller->counts().flowsTried;
        sum.opened += caller->counts().opened;
        sum.served += caller->counts().served;
        sum.resets += caller->counts().resets;
        sum.lateRefusals += caller->counts().lateRefusals;
    }
    return sum;
}

void Fleet::checkProcesses()
{
    for (const auto& daemon : m_daemons) {
        if (!daemon->process || !daemon->process->exitCode() || daemon->isReplaced)
            continue;
        if (!daemon->isEnding) {
            m_promises.recordViolation(Promise::StaysUp, daemon->name + " exited with code " + std::to_string(*daemon->process->exitCode()));
            start(*daemon);
        } else if (*daemon->process->exitCode() == 0) {
            daemon->process.reset();
            scheduleStart(*daemon, readyInterval);
        }
    }
}

}
