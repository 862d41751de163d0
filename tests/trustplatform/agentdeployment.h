#pragma once

#include "kingcuptraild/packets/packetagent.h"
#include "libhttp/httpclient.h"
#include "platform/platformfixture.h"
#include "platform/trustadapter.h"
#include "soak/soakpackets.h"

#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/write.hpp>
#include <set>
#include <thread>

namespace kingcuptrail {

inline constexpr PacketEndpoint boardAddress { .address = 0xc6120001, .port = 443 };
inline constexpr std::uint32_t callerSequence = 1000;
inline constexpr std::uint32_t upstreamSequence = 70000;

inline asio::ip::address_v4 host(unsigned char number)
{
    return asio::ip::address_v4({ 127, 84, 1, number });
}

/// One report of an upstream's process.
struct Report {
    std::string id = "i-1";
    std::uint64_t born = 1000;
    std::uint64_t sequence = 1;
    std::string service = "board";
    std::string state = "ready";
    std::string zone = "north";
};

/// The upstream's process: holds flows, acknowledges their packets and returns those of other flows.
class UpstreamProcess {
public:
    UpstreamProcess(asio::io_context& context, const asio::ip::udp::endpoint& address, const asio::ip::udp::endpoint& agent)
        : m_agent(agent)
    {
        DatagramError error = DatagramError::None;
        m_socket = DatagramSocket::open(
            context, address, [this](std::span<std::uint8_t> packet, const asio::ip::udp::endpoint&) { handlePacket(packet); }, error);
        CPPUNIT_ASSERT(m_socket);
    }

    /// While set, packets are neither answered nor returned.
    bool isSilent = false;
    unsigned dataPackets = 0;
    /// The callers' ports of the openings that have arrived.
    std::set<std::uint16_t> openings;

private:
    void handlePacket(std::span<std::uint8_t> packet)
    {
        DecodeError error = DecodeError::None;
        const auto header = trustAdapter().decodePacket(packet, error);
        CPPUNIT_ASSERT(header && hasValidChecksum(packet));
        const FlowKey flow = flowFromCaller(*header);
        if (isOpening(*header)) {
            openings.insert(flow.caller.port);
            send({ .source = flow.service, .destination = flow.caller, .flags = { .opens = true, .acknowledges = true }, .sequence = upstreamSequence, .acknowledged = header->sequence + 1 });
        } else if (!openings.contains(flow.caller.port) || header->acknowledged != upstreamSequence + 1) {
            returnPacket(packet);
        } else {
            ++dataPackets;
            if (!isSilent)
                send({ .source = flow.service, .destination = flow.caller, .flags = { .acknowledges = true }, .sequence = upstreamSequence + 1, .acknowledged = header->sequence + header->dataLength });
        }
    }

    void returnPacket(std::span<std::uint8_t> packet)
    {
        constexpr std::size_t flagsOffset = 10;
        constexpr std::uint8_t returnedBit = 4;
        if (isSilent)
            return;
        packet[flagsOffset] |= returnedBit;
        m_socket->send(packet, m_agent);
    }

    void send(const PacketFields& fields) { m_socket->send(encodePacket(fields), m_agent); }

    asio::ip::udp::endpoint m_agent;
    std::unique_ptr<DatagramSocket> m_socket;
};

/// Everything that a test runs, in the order of its construction.
struct AgentDeployment {
    AgentDeployment(asio::io_context& ioContext, const PlatformOptions& platform)
        : context(ioContext)
        , settings(settingsOf("agent-1", 1, freePort()))
        , balancerSettings(settingsOf("front-1", 2, settings.listen.port()))
        , root(context, "root")
        , role { context, settings, platform, clock, config, root }
        , agent(role, trustAdapter())
        , balancer(context, balancerSettings, clock)
    {
        CPPUNIT_ASSERT(agent.isStarted());
        CPPUNIT_ASSERT(balancer.start({ .onFlowMessage = [this](const PeerMessage& message, std::uint32_t) { denials += message.kind == wire::PeerKind::NotHeld ? 1 : 0; }, .onOutages = [](const std::vector<std::string>&) {} }));
        balancer.updateRoutes({ .version = 7, .routes = { { .address = boardAddress, .shares = { { .service = "board" } }, .latencyTarget = 200 } }, .services = { { .name = "board" } } });
        balancer.updateOutages({ .revision = 3, .out = {} });
        DatagramError error = DatagramError::None;
        callers = DatagramSocket::open(
            context, { host(9), settings.packets.ingress.port() }, [this](std::span<std::uint8_t> packet, const asio::ip::udp::endpoint&) { handleCallerPacket(packet); }, error);
        CPPUNIT_ASSERT(callers);
        startUpstream();
        runUntil(context, [this] { return agent.statusFields().find("\"routesVersion\":7") != std::string::npos; });
    }
    ~AgentDeployment() { root.destroyAll(); }

    std::uint16_t freePort() { return asio::ip::udp::socket(context, { host(1), 0 }).local_endpoint().port(); }

    Settings settingsOf(const std::string& name, unsigned char number, std::uint16_t port)
    {
        const auto at = [&](std::uint16_t listenPort) { return asio::ip::tcp::endpoint(host(number), listenPort); };
        Settings result { .role = DaemonRole::PacketAgent, .name = name, .dataCentre = "north", .listen = at(port) };
        result.packets.ready = at(freePort());
        result.packets.upstream = at(freePort());
        result.packets.outbound = at(freePort());
        result.packets.control = at(freePort());
        result.packets.ingress = at(freePort());
        result.packets.seeds = { { host(1), port } };
        return result;
    }

    /// Ends the upstream's process, if there is one, and starts another that holds no flows.
    void startUpstream()
    {
        upstream.reset();
        const auto& packets = settings.packets;
        upstream = std::make_unique<UpstreamProcess>(context, asio::ip::udp::endpoint { packets.upstream.address(), packets.upstream.port() }, asio::ip::udp::endpoint { packets.outbound.address(), packets.outbound.port() });
    }

    /// Accepts connections at the upstream's address, as its process does while it is ready.
    void listen()
    {
        acceptor = std::make_unique<asio::ip::tcp::acceptor>(context, settings.packets.upstream);
    }

    static std::string bodyOf(const Report& sent)
    {
        return R"({"service":")" + sent.service + R"(","address":"127.84.1.1:1","zone":")" + sent.zone + R"(","slots":5,"warmup-left-ms":0,"born":)" + std::to_string(sent.born) + R"(,"state":")" + sent.state + R"(","sequence":)" + std::to_string(sent.sequence) + "}";
    }

    void report(const Report& sent)
    {
        call({ .method = "PUT", .target = "/targets/" + sent.id, .body = bodyOf(sent) });
    }

    /// Calls the agent as the upstream does, and expects that it is confirmed.
    void call(HttpRequest request) { CPPUNIT_ASSERT_EQUAL(200, statusOf(std::move(request))); }

    /// Calls the agent and returns the status of its answer.
    int statusOf(HttpRequest request)
    {
        std::optional<int> status;
        HttpCall::Handlers handlers;
        handlers.onDone = [&status](const std::optional<HttpResponse>& response, const HttpOutcome&) { status = response ? response->status : 0; };
        const auto running = startHttpCall(context, settings.packets.control, std::move(request), {}, std::move(handlers));
        runUntil(context, [&status] { return status.has_value(); });
        return *status;
    }

    static FlowKey flow(std::uint16_t port) { return { .caller = { .address = host(9).to_uint(), .port = port }, .service = boardAddress }; }

    /// Opens the caller's flow at the upstream: the opening packet, the upstream's answer and the caller's first data.
    void open(std::uint16_t port)
    {
        sendOpening(port, 7);
        runUntil(context, [&] { return answered.contains(port); });
        sendData(port);
        runUntil(context, [&] { return acknowledged.contains(port); });
    }

    /// Sends an opening packet to the agent, as a balancer with this version of the configuration does.
    void sendOpening(std::uint16_t port, ConfigVersion version)
    {
        balancer.send(host(1).to_uint(), { .kind = wire::PeerKind::Open, .flow = flow(port), .configVersion = version, .packet = opening(port) });
    }

    static std::vector<std::uint8_t> opening(std::uint16_t port) { return encodePacket({ .source = flow(port).caller, .destination = boardAddress, .flags = { .opens = true }, .sequence = callerSequence }); }

    /// Writes a report into a connection to the agent without running it.
    void reportUnread(const Report& sent)
    {
        waitingReport = std::make_unique<asio::ip::tcp::socket>(context);
        waitingReport->connect(settings.packets.control);
        const std::string body = bodyOf(sent);
        asio::write(*waitingReport, asio::buffer("PUT /targets/" + sent.id + " HTTP/1.1\r\nHost: agent\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
    }

    /// Lets time pass in which nothing of this process runs, as when it is stopped.
    static void pause(Millis time) { std::this_thread::sleep_for(std::chrono::milliseconds(time)); }

    bool hasService(const std::string& service) const { return agent.statusFields().find(R"("service":")" + service + "\"") != std::string::npos; }

    void sendData(std::uint16_t port)
    {
        const auto packet = encodePacket({ .source = flow(port).caller, .destination = boardAddress, .flags = { .acknowledges = true }, .sequence = callerSequence + 1, .acknowledged = upstreamSequence + 1, .data = "question" });
        balancer.send(host(1).to_uint(), { .kind = wire::PeerKind::Forward, .flow = flow(port), .configVersion = 7, .packet = packet });
    }

    void handleCallerPacket(std::span<const std::uint8_t> packet)
    {
        DecodeError error = DecodeError::None;
        const auto header = trustAdapter().decodePacket(packet, error);
        CPPUNIT_ASSERT(header);
        const std::uint16_t port = header->destination.port;
        if (header->flags.resets)
            reset.insert(port);
        else if (header->flags.opens)
            answered.insert(port);
        else
            acknowledged.insert(port);
    }

    void runFor(Millis time)
    {
        const Millis until = clock.now() + time;
        runUntil(context, [&] { return clock.now() >= until; });
    }

    std::optional<PeerState> announcedState() const
    {
        const auto& entries = balancer.directory().entries;
        const auto found = entries.find("agent-1");
        return found != entries.end() ? std::optional(found->second.state) : std::nullopt;
    }

    asio::io_context& context;
    Clock clock;
    Settings settings;
    Settings balancerSettings;
    ActiveConfig config;
    Supervisor root;
    RoleContext role;
    PacketAgent agent;
    PeerNetwork balancer;
    std::unique_ptr<DatagramSocket> callers;
    std::unique_ptr<UpstreamProcess> upstream;
    std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
    std::unique_ptr<asio::ip::tcp::socket> waitingReport;
    std::set<std::uint16_t> answered;
    std::set<std::uint16_t> acknowledged;
    std::set<std::uint16_t> reset;
    unsigned denials = 0;
};

}
