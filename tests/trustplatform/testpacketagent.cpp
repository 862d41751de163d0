#include "kingcuptraild/packets/packetagent.h"
#include "libhttp/httpclient.h"
#include "libplatform/peerentryjson.h"
#include "platform/platformfixture.h"
#include "platform/trustadapter.h"

#include <algorithm>
#include <asio/ip/udp.hpp>

using namespace kingcuptrail;

/// One agent with its upstream's addresses, a store, and a peer that sends it queries and receives its gossip.
class TestPacketAgent : public PlatformFixture {
    CPPUNIT_TEST_SUITE(TestPacketAgent);
    CPPUNIT_TEST(startFailsWhenAddressesAreTaken);
    CPPUNIT_TEST(agentStaysGoneWhileStoreIsDown);
    CPPUNIT_TEST(withdrawsStoredEntryOfMissingUpstream);
    CPPUNIT_TEST(withdrawsEntryWhenStoppedBeforeUpstreamCheck);
    CPPUNIT_TEST(answersProbeOfKnownFlow);
    CPPUNIT_TEST(handsOpeningsBackWhenUpstreamEnds);
    CPPUNIT_TEST(handsOpeningsBackWhenConnectionsAreRefused);
    CPPUNIT_TEST(copiesProbeToNeighbours);
    CPPUNIT_TEST(unsureAgentQueriesNeighbours);
    CPPUNIT_TEST(reportsPendingRequestToOtherDataCentre);
    CPPUNIT_TEST(statusShowsAnIdThatIsNoText);
    CPPUNIT_TEST_SUITE_END();

    struct Agent {
        Agent(asio::io_context& context, const Settings& agentSettings, const PlatformOptions& platform)
            : settings(agentSettings)
            , root(context, "root")
            , role { context, settings, platform, clock, config, root }
            , agent(role, trustAdapter())
        {
        }
        ~Agent() { root.destroyAll(); }

        Settings settings;
        Clock clock;
        ActiveConfig config;
        Supervisor root;
        RoleContext role;
        PacketAgent agent;
    };

    static asio::ip::address_v4 host(unsigned char number)
    {
        return asio::ip::address_v4({ 127, 83, 1, number });
    }

    /// A port that is free on the first host. All processes of a deployment listen on the same port.
    std::uint16_t freePort()
    {
        return asio::ip::udp::socket(m_context, { host(1), 0 }).local_endpoint().port();
    }

    Settings settingsOf(const std::string& name, unsigned char number, std::uint16_t port)
    {
        const auto at = [&](std::uint16_t offset) { return asio::ip::tcp::endpoint(host(number), static_cast<std::uint16_t>(offset == 0 ? port : freePort())); };
        Settings settings { .role = DaemonRole::PacketAgent, .name = name, .dataCentre = "north", .listen = at(0) };
        settings.packets.ready = at(1);
        settings.packets.upstream = at(2);
        settings.packets.outbound = at(3);
        settings.packets.control = at(4);
        settings.packets.ingress = at(5);
        settings.packets.seeds = { { host(1), port } };
        return settings;
    }

    void report(const Agent& agent, const std::string& state, const std::string& id = "i-1")
    {
        ++m_sequence;
        const std::string body = R"({"service":"board","address":"127.83.1.1:1","zone":"north","slots":5,"warmup-left-ms":0,"born":1000,"state":")" + state + R"(","sequence":)" + std::to_string(m_sequence) + "}";
        bool isDone = false;
        HttpCall::Handlers handlers;
        handlers.onDone = [&isDone](const std::optional<HttpResponse>& response, const HttpOutcome&) {
            isDone = true;
            CPPUNIT_ASSERT(response && response->status == 200);
        };
        const auto call = startHttpCall(m_context, agent.settings.packets.control, { .method = "PUT", .target = "/targets/" + id, .body = body }, {}, std::move(handlers));
        runUntil(m_context, [&isDone] { return isDone; });
    }

    /// Binds the upstream's port, as a process does that takes packets without returning them.
    asio::ip::udp::socket bindUpstream(const Settings& settings)
    {
        return asio::ip::udp::socket(m_context, { settings.packets.upstream.address(), settings.packets.upstream.port() });
    }

    /// The agent's state in the peer's directory.
    static std::optional<PeerState> agentStateIn(const PeerNetwork& peer)
    {
        const auto& entries = peer.directory().entries;
        const auto found = entries.find("agent-1");
        return found != entries.end() ? std::optional(found->second.state) : std::nullopt;
    }

    /// A caller's packet with three bytes of data.
    static std::vector<std::uint8_t> callerPacket()
    {
        return {
            0x03, 0x00, 0xd5, 0xc3, 0xb2, 0xa1, 0x00, 0x00, 0x00, 0x00, 0x10, 0x00, 0x00, 0x00, 0x00, 0x00, 0x44, 0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00,
            0x07, 0x00, 0x40, 0x64, 0x41, 0x9c, 0xbb, 0x01, 0x01, 0x00, 0x12, 0xc6, 'a', 'b', 'c'
        };
    }

    void startFailsWhenAddressesAreTaken()
    {
        const Settings settings = settingsOf("agent-1", 1, freePort());
        const Agent first(m_context, settings, m_options);
        CPPUNIT_ASSERT(first.agent.isStarted());
        const Agent second(m_context, settings, m_options);
        CPPUNIT_ASSERT(!second.agent.isStarted());
    }

    // Guards against an agent that announces itself again after it has announced that it is gone. While the store was down,
    // the agent waited for the withdrawal of its entry, and its next periodic announcement said "draining" with a newer
    // epoch. The process then ended, so peers kept waiting for its answers and its entry stayed in the store.
    void agentStaysGoneWhileStoreIsDown()
    {
        const std::uint16_t port = freePort();
        Agent agent(m_context, settingsOf("agent-1", 1, port), m_options);
        const Settings peerSettings = settingsOf("front-1", 2, port);
        const Clock clock;
        PeerNetwork peer(m_context, peerSettings, clock);
        CPPUNIT_ASSERT(peer.start({ .onFlowMessage = [](const PeerMessage&, std::uint32_t) {}, .onOutages = [](const std::vector<std::string>&) {} }));
        report(agent, "ready");
        runUntil(m_context, [&peer] { return agentStateIn(peer) == PeerState::Ready; });
        report(agent, "draining");
        runUntil(m_context, [&peer] { return agentStateIn(peer) == PeerState::Draining; });
        m_server->setFaults({ .down = true });
        agent.agent.shutDown([] {});
        runUntil(m_context, [&peer] { return agentStateIn(peer) == PeerState::Gone; });
        // Waits for gossip that is sent several rounds later. The agent's own periodic work runs more often than that.
        constexpr Millis someRounds = 600;
        const Millis goneAt = peer.lastGossipAt();
        runUntil(m_context, [&peer, goneAt] { return peer.lastGossipAt() > goneAt + someRounds; });
        CPPUNIT_ASSERT(agentStateIn(peer) == PeerState::Gone);
    }

    // Guards against the store entry of a host that restarted without its upstream and was then removed: processes that read
    // the entry later would keep every search for a lost flow open, waiting for that agent.
    void withdrawsStoredEntryOfMissingUpstream()
    {
        const std::uint16_t port = freePort();
        const PeerEntry former { .name = "agent-1", .address = host(1).to_uint(), .dataCentre = "north", .service = "board", .slots = 5, .epoch = 1000 };
        m_server->store().put("agent", former.name, toJson(former), 0);
        Agent agent(m_context, settingsOf("agent-1", 1, port), m_options);
        const Settings peerSettings = settingsOf("front-1", 2, port);
        const Clock clock;
        PeerNetwork peer(m_context, peerSettings, clock);
        CPPUNIT_ASSERT(peer.start({ .onFlowMessage = [](const PeerMessage&, std::uint32_t) {}, .onOutages = [](const std::vector<std::string>&) {} }));
        runUntil(m_context, [&peer] { return agentStateIn(peer) == PeerState::Gone; });
        runUntil(m_context, [this] { return !m_server->store().get("agent", "agent-1"); });
        peer.updateEntry(former);
        CPPUNIT_ASSERT(agentStateIn(peer) == PeerState::Gone);
        report(agent, "ready");
        runUntil(m_context, [&peer] { return agentStateIn(peer) == PeerState::Ready; });
        runUntil(m_context, [this] { return m_server->store().get("agent", "agent-1").has_value(); });
    }

    // Guards against the directory entry of a host that restarted without its upstream and was removed at once: every search
    // for a lost flow would wait for its agent until each balancer had noticed by itself that the agent is silent.
    void withdrawsEntryWhenStoppedBeforeUpstreamCheck()
    {
        const std::uint16_t port = freePort();
        const PeerEntry former { .name = "agent-1", .address = host(1).to_uint(), .dataCentre = "north", .service = "board", .slots = 5, .epoch = 1000 };
        auto agent = std::make_unique<Agent>(m_context, settingsOf("agent-1", 1, port), m_options);
        const Settings peerSettings = settingsOf("front-1", 2, port);
        const Clock clock;
        PeerNetwork peer(m_context, peerSettings, clock);
        CPPUNIT_ASSERT(peer.start({ .onFlowMessage = [](const PeerMessage&, std::uint32_t) {}, .onOutages = [](const std::vector<std::string>&) {} }));
        peer.announce({ .name = "front-1", .role = PeerRole::Balancer, .address = host(2).to_uint(), .dataCentre = "north" });
        peer.updateEntry(former);
        bool isDone = false;
        agent->agent.shutDown([&isDone] { isDone = true; });
        runUntil(m_context, [&isDone] { return isDone; });
        agent.reset();
        runUntil(m_context, [&peer] { return agentStateIn(peer) == PeerState::Gone; });
    }

    // An agent that was restarted beside its upstream learns a flow when the upstream keeps the first probe. Guards against
    // further probes of that flow without an answer: a balancer that does not have the flow in its cache waits for one.
    void answersProbeOfKnownFlow()
    {
        const std::uint16_t port = freePort();
        Agent agent(m_context, settingsOf("agent-1", 1, port), m_options);
        const auto upstream = bindUpstream(agent.settings);
        const Settings peerSettings = settingsOf("front-1", 2, port);
        const Clock clock;
        PeerNetwork peer(m_context, peerSettings, clock);
        unsigned heldAnswers = 0;
        CPPUNIT_ASSERT(peer.start({
            .onFlowMessage = [&heldAnswers](const PeerMessage& message, std::uint32_t) { heldAnswers += message.kind == wire::PeerKind::Held ? 1 : 0; },
            .onOutages = [](const std::vector<std::string>&) {},
        }));
        m_sequence = 70;
        report(agent, "ready");
        const std::vector<std::uint8_t> packet = callerPacket();
        DecodeError error = DecodeError::None;
        const FlowKey flow = flowFromCaller(*trustAdapter().decodePacket(packet, error));
        for (unsigned expected = 1; expected <= 3; ++expected) {
            peer.send(host(1).to_uint(), { .kind = wire::PeerKind::Probe, .flow = flow, .packet = packet });
            runUntil(m_context, [&heldAnswers, expected] { return heldAnswers == expected; });
        }
    }

    /// Sends copies of an opening to an agent whose upstream has reported and answers nothing, and expects that it is handed back and
    /// that the agent then refuses further openings.
    void expectOpeningsHandedBack(Agent& agent, PeerNetwork& peer, unsigned copies, const std::function<bool()>& isDone)
    {
        std::vector<OpeningRefusal> refusals;
        unsigned admitted = 0;
        m_denied = 0;
        CPPUNIT_ASSERT(peer.start({
            .onFlowMessage = [&](const PeerMessage& message, std::uint32_t) {
                admitted += message.kind == wire::PeerKind::Admitted ? 1 : 0;
                m_denied += message.kind == wire::PeerKind::NotHeld ? 1 : 0;
                if (message.kind == wire::PeerKind::Refused)
                    refusals.push_back(message.packet.empty() ? OpeningRefusal::None : message.refusal); },
            .onOutages = [](const std::vector<std::string>&) {},
        }));
        std::vector<std::uint8_t> packet = callerPacket();
        constexpr std::size_t flagsOffset = 10;
        constexpr std::uint8_t opensBit = 1;
        packet[flagsOffset] = opensBit;
        DecodeError error = DecodeError::None;
        const auto header = trustAdapter().decodePacket(packet, error);
        CPPUNIT_ASSERT(header && isOpening(*header));
        const FlowKey flow = flowFromCaller(*header);
        peer.updateRoutes({ .version = 7, .routes = { { .address = flow.service, .shares = { { .service = "board" } }, .latencyTarget = 200 } }, .services = { { .name = "board" } } });
        peer.updateOutages({ .revision = 3, .out = {} });
        m_sequence = 70;
        report(agent, "ready");
        runUntil(m_context, [&] { return agent.agent.statusFields().find("\"routesVersion\":7") != std::string::npos; });
        const FlowMessage opening { .kind = wire::PeerKind::Open, .flow = flow, .configVersion = 7, .packet = packet };
        for (unsigned copy = 0; copy < copies; ++copy)
            peer.send(host(1).to_uint(), opening);
        runUntil(m_context, [&] { return !refusals.empty(); });
        CPPUNIT_ASSERT_EQUAL(copies, admitted);
        CPPUNIT_ASSERT(refusals == std::vector { OpeningRefusal::Returned });
        report(agent, "ready");
        peer.send(host(1).to_uint(), opening);
        peer.send(host(1).to_uint(), { .kind = wire::PeerKind::Find, .flow = flow });
        runUntil(m_context, [&] { return refusals.size() == 2 && isDone(); });
        CPPUNIT_ASSERT(refusals.back() == OpeningRefusal::NoUpstream);
    }

    // An upstream reports and then ends without a notice; nothing is bound to its port. Guards against openings that are
    // lost with it, further openings for it, and searches that stay uncertain because its agent cannot deny flows.
    void handsOpeningsBackWhenUpstreamEnds()
    {
        const std::uint16_t port = freePort();
        Agent agent(m_context, settingsOf("agent-1", 1, port), m_options);
        const Settings peerSettings = settingsOf("front-1", 2, port);
        const Clock clock;
        PeerNetwork peer(m_context, peerSettings, clock);
        expectOpeningsHandedBack(agent, peer, 1, [this] { return m_denied == 1; });
        std::string metrics;
        agent.agent.exposeMetrics(metrics);
        CPPUNIT_ASSERT(metrics.find("kingcuptrail_upstream_port_closed_total 1\n") != std::string::npos);
    }

    // Connections to an upstream are refused while its port is bound and it answers nothing. Guards against openings that wait there
    // until their callers give up.
    void handsOpeningsBackWhenConnectionsAreRefused()
    {
        const std::uint16_t port = freePort();
        Agent agent(m_context, settingsOf("agent-1", 1, port), m_options);
        const auto upstream = bindUpstream(agent.settings);
        const Settings peerSettings = settingsOf("front-1", 2, port);
        const Clock clock;
        PeerNetwork peer(m_context, peerSettings, clock);
        expectOpeningsHandedBack(agent, peer, 2, [] { return true; });
        std::string metrics;
        agent.agent.exposeMetrics(metrics);
        CPPUNIT_ASSERT(metrics.find("kingcuptrail_upstream_connections_total{reason=\"refused\"} 2") != std::string::npos);
    }

    /// A process of the same data centre that records the messages it receives and, if `holdsFlows`, answers that it holds
    /// every flow it is asked for.
    struct Neighbour {
        Neighbour(asio::io_context& context, const Settings& neighbourSettings, PeerRole role, bool holdsFlows)
            : settings(neighbourSettings)
            , network(context, settings, clock)
        {
            CPPUNIT_ASSERT(network.start({
                .onFlowMessage = [this, holdsFlows](const PeerMessage& message, std::uint32_t sender) {
                    received.push_back(message.kind);
                    holder = message.kind == wire::PeerKind::HeldNear ? message.holder : holder;
                    const bool isQuestion = message.kind == wire::PeerKind::Probe || message.kind == wire::PeerKind::Find;
                    if (isQuestion && holdsFlows)
                        network.send(sender, { .kind = wire::PeerKind::Held, .flow = message.flow }); },
                .onOutages = [](const std::vector<std::string>&) {},
            }));
            network.announce({ .name = settings.name, .role = role, .address = settings.listen.address().to_v4().to_uint(), .dataCentre = settings.dataCentre });
        }

        bool hasReceived(wire::PeerKind kind) const { return std::ranges::find(received, kind) != received.end(); }

        Settings settings;
        Clock clock;
        PeerNetwork network;
        std::vector<wire::PeerKind> received;
        std::uint32_t holder = 0;
    };

    /// Asks agent-1, which does not know the flow, for its whole data centre, with or without a packet. Checks that its
    /// neighbour, which holds the flow, receives a message of the kind `expected` and is named as holder in the answer.
    void expectNeighbourReceives(std::span<const std::uint8_t> packet, wire::PeerKind expected)
    {
        const std::uint16_t port = freePort();
        Agent agent(m_context, settingsOf("agent-1", 1, port), m_options);
        const Neighbour neighbour(m_context, settingsOf("agent-2", 2, port), PeerRole::Agent, true);
        Neighbour balancer(m_context, settingsOf("front-1", 3, port), PeerRole::Balancer, false);
        m_sequence = 70;
        report(agent, "ready");
        runUntil(m_context, [&] { return agentStateIn(neighbour.network).has_value() && agentStateIn(balancer.network).has_value() && balancer.network.directory().entries.size() == 3; });
        DecodeError error = DecodeError::None;
        const FlowKey flow = flowFromCaller(*trustAdapter().decodePacket(callerPacket(), error));
        balancer.network.send(host(1).to_uint(), { .kind = wire::PeerKind::FindNear, .flow = flow, .packet = packet });
        runUntil(m_context, [&] { return balancer.holder != 0; });
        CPPUNIT_ASSERT_EQUAL(host(2).to_uint(), balancer.holder);
        CPPUNIT_ASSERT(neighbour.hasReceived(expected));
    }

    // When all agents were restarted beside their upstreams, only a packet of a flow shows which upstream holds it. Guards
    // against a packet that reaches only the agent to which the balancer sent it: that agent has to copy it to the others of
    // its data centre, because the balancer's link is too small for a copy to each of them.
    void copiesProbeToNeighbours()
    {
        expectNeighbourReceives(callerPacket(), wire::PeerKind::Probe);
    }

    // Some seconds after such a restart agents have learnt active flows again but cannot yet deny others. Guards against an
    // agent that answers for its data centre that it is unsure without asking its neighbours: the packet is then copied to all
    // agents although one of them knows the flow.
    void unsureAgentQueriesNeighbours()
    {
        expectNeighbourReceives({}, wire::PeerKind::Find);
    }

    // A data centre loses power with balancer, agent and upstream of a flow. Guards against requests that no other data centre
    // knows, and against reports to a balancer that is lost together with the agent.
    void reportsPendingRequestToOtherDataCentre()
    {
        const std::uint16_t port = freePort();
        Settings settings = settingsOf("agent-1", 1, port);
        settings.packets.toleratedDataCentreLosses = 1;
        const Agent agent(m_context, settings, m_options);
        const auto upstream = bindUpstream(settings);
        Neighbour near(m_context, settingsOf("front-north", 2, port), PeerRole::Balancer, false);
        Settings farSettings = settingsOf("front-south", 3, port);
        farSettings.dataCentre = "south";
        const Neighbour far(m_context, farSettings, PeerRole::Balancer, false);
        m_sequence = 70;
        report(agent, "ready");
        runUntil(m_context, [&] { return near.network.directory().entries.size() == 3 && far.network.directory().entries.size() == 3; });
        DecodeError error = DecodeError::None;
        const FlowKey flow = flowFromCaller(*trustAdapter().decodePacket(callerPacket(), error));
        // The first packet shows that the upstream holds the flow; the second one counts as a request.
        near.network.send(host(1).to_uint(), { .kind = wire::PeerKind::Probe, .flow = flow, .packet = callerPacket() });
        runUntil(m_context, [&near] { return near.hasReceived(wire::PeerKind::Held); });
        near.network.send(host(1).to_uint(), { .kind = wire::PeerKind::Forward, .flow = flow, .packet = callerPacket() });
        runUntil(m_context, [&far] { return far.hasReceived(wire::PeerKind::PendingRequests); });
        CPPUNIT_ASSERT(!near.hasReceived(wire::PeerKind::PendingRequests));
    }

    // Guards against a report whose id is no UTF-8 and that ends the agent when its status is asked for.
    void statusShowsAnIdThatIsNoText()
    {
        const Agent agent(m_context, settingsOf("agent-1", 1, freePort()), m_options);
        report(agent, "ready", "i-%ff");
        CPPUNIT_ASSERT(agent.agent.statusFields().find("\"service\":\"board\"") != std::string::npos);
    }

    std::uint64_t m_sequence = 0;
    unsigned m_denied = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPacketAgent);
