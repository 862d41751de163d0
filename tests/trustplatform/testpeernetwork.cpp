#include "kingcuptraild/packets/peernetwork.h"
#include "support/eventloop.h"

#include <asio/ip/udp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

/// Processes that exchange views with each other or with a simulated peer.
class TestPeerNetwork : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestPeerNetwork);
    CPPUNIT_TEST(configurationArrivesOverSlowLink);
    CPPUNIT_TEST(fetchFromPausedPeerIsAbandoned);
    CPPUNIT_TEST(directoriesConverge);
    CPPUNIT_TEST(newProcessLearnsWholeDirectory);
    CPPUNIT_TEST(entriesWithLongNamesAreExchanged);
    CPPUNIT_TEST(processStandsAboveFormerNamesOfItsAddress);
    CPPUNIT_TEST(trafficIsCountedByKind);
    CPPUNIT_TEST(newProcessLearnsFormerIdleLimits);
    CPPUNIT_TEST_SUITE_END();

    static asio::ip::address_v4 host(unsigned char number)
    {
        return asio::ip::address_v4({ 127, 83, 3, number });
    }

    std::uint16_t freePort()
    {
        return asio::ip::udp::socket(m_context, { host(1), 0 }).local_endpoint().port();
    }

    struct Process {
        Process(asio::io_context& context, unsigned char number, std::uint16_t port)
            : settings { .name = "process-" + std::to_string(number), .dataCentre = "north", .listen = { host(number), port } }
            , network(context, settings, clock)
        {
            CPPUNIT_ASSERT(network.start({ .onFlowMessage = [](const PeerMessage&, std::uint32_t) {}, .onOutages = [](const std::vector<std::string>&) {} }));
        }

        std::string metrics() const
        {
            std::string text;
            network.exposeMetrics(text);
            return text;
        }

        Settings settings;
        Clock clock;
        PeerNetwork network;
    };

    /// A simulated peer that names a newer configuration and sends its view in pieces with pauses, or not at all.
    class SlowPeer {
    public:
        SlowPeer(asio::io_context& context, unsigned char number, std::uint16_t port)
            : m_acceptor(context, { host(number), port })
            , m_connection(context)
            , m_pause(context)
            , m_gossipSocket(context, { host(number), port })
        {
            m_acceptor.async_accept(m_connection, [this](const asio::error_code& error) {
                m_hasConnection = !error;
                if (m_hasConnection && m_pieces > 0)
                    sendPiece();
            });
        }

        void sendInPieces(std::size_t pieces, Millis pause)
        {
            const std::string body = encodeView({ .routes = { .version = version, .routes = {}, .services = {} }, .outages = {}, .entries = {} });
            m_answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            m_pieces = pieces;
            m_pauseTime = pause;
        }

        void sendVersion(const asio::ip::udp::endpoint& receiver)
        {
            PeerMessageEncoder encoder;
            const OutageView outages;
            const auto bytes = encoder.encode(GossipMessage { .configVersion = version, .outages = &outages, .entries = {}, .readers = {} });
            m_gossipSocket.send_to(asio::buffer(bytes.data(), bytes.size()), receiver);
        }

        bool hasConnection() const { return m_hasConnection; }

        static constexpr ConfigVersion version = 5;

    private:
        void sendPiece()
        {
            const std::size_t length = std::min(m_answer.size() / m_pieces + 1, m_answer.size() - m_sent);
            asio::write(m_connection, asio::buffer(m_answer.data() + m_sent, length));
            m_sent += length;
            if (m_sent < m_answer.size())
                m_pause.start(m_pauseTime, [this] { sendPiece(); });
        }

        asio::ip::tcp::acceptor m_acceptor;
        asio::ip::tcp::socket m_connection;
        Delay m_pause;
        asio::ip::udp::socket m_gossipSocket;
        std::string m_answer;
        std::size_t m_sent = 0;
        std::size_t m_pieces = 0;
        Millis m_pauseTime = 0;
        bool m_hasConnection = false;
    };

    // Guards against a process that starts after the idle limit was lowered and ends flows of the longer one.
    void newProcessLearnsFormerIdleLimits()
    {
        const std::uint16_t port = freePort();
        Process first(m_context, 1, port);
        first.network.updateRoutes({ .version = 1, .routes = {}, .services = {}, .idleLimit = 60000 });
        first.network.updateRoutes({ .version = 2, .routes = {}, .services = {}, .idleLimit = 5000 });
        Process second(m_context, 2, port);
        second.settings.packets.seeds = { { host(1), port } };
        runUntil(m_context, [&second] { return second.network.routes().version == 2; });
        CPPUNIT_ASSERT_EQUAL(Millis { 5000 }, *second.network.idleLimits().current);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, second.network.idleLimits().former.size());
        CPPUNIT_ASSERT_EQUAL(Millis { 60000 }, second.network.idleLimits().former.front().limit);
    }

    // Guards against a time limit for a whole fetch that a slow link cannot meet: the same bytes were sent again and again and
    // filled the link, and the configuration never arrived.
    void configurationArrivesOverSlowLink()
    {
        const std::uint16_t port = freePort();
        Process process(m_context, 1, port);
        SlowPeer peer(m_context, 2, port);
        constexpr std::size_t pieces = 8;
        constexpr Millis pause = 100;
        peer.sendInPieces(pieces, pause);
        peer.sendVersion({ host(1), port });
        runUntil(m_context, [&process] { return process.network.routes().version == SlowPeer::version; });
        CPPUNIT_ASSERT(process.metrics().find(R"(reason="viewFetchFailed"} 0)") != std::string::npos);
    }

    // Guards against a process that stays behind because the peer from which it fetches the view is paused.
    void fetchFromPausedPeerIsAbandoned()
    {
        const std::uint16_t port = freePort();
        Process process(m_context, 1, port);
        SlowPeer peer(m_context, 2, port);
        peer.sendVersion({ host(1), port });
        runUntil(m_context, [&peer] { return peer.hasConnection(); });
        const Millis connectedAt = process.clock.now();
        runUntil(m_context, [&process] { return process.metrics().find(R"(reason="viewFetchFailed"} 1)") != std::string::npos; });
        // A third of the shortest time within which a change has to be in force everywhere.
        CPPUNIT_ASSERT(process.clock.now() - connectedAt < 1000);
    }

    static std::vector<PeerEntry> hundredAgents()
    {
        std::vector<PeerEntry> agents;
        for (std::uint32_t number = 10; number < 110; ++number)
            agents.push_back({ .name = "agent-" + std::to_string(number), .address = host(static_cast<unsigned char>(number)).to_uint(), .dataCentre = "south", .service = "board", .epoch = 3 });
        return agents;
    }

    // Guards against a process that has just started and keeps an almost empty directory: only the peer sees how large the
    // difference is, but it lacks almost nothing itself and so fetches nothing.
    void newProcessLearnsWholeDirectory()
    {
        const std::uint16_t port = freePort();
        Process first(m_context, 1, port);
        Process second(m_context, 2, port);
        first.network.updateEntries(hundredAgents());
        second.network.updateEntries({ { .name = "agent-200", .address = host(200).to_uint(), .epoch = 3 } });
        second.network.compareDirectory(host(1).to_uint());
        runUntil(m_context, [&] { return digestOf(first.network.directory()) == digestOf(second.network.directory()); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 101 }, first.network.directory().entries.size());
    }

    // Guards against entries whose names are so long that a message with several of them fits into no datagram.
    void entriesWithLongNamesAreExchanged()
    {
        const std::uint16_t port = freePort();
        Process first(m_context, 1, port);
        Process second(m_context, 2, port);
        std::vector<PeerEntry> entries = hundredAgents();
        entries.resize(20);
        for (PeerEntry& entry : entries) {
            entry.name.append(100, 'x');
            entry.service.append(120, 'y');
            entry.dataCentre.append(120, 'z');
        }
        first.network.updateEntries(entries);
        second.network.compareDirectory(host(1).to_uint());
        runUntil(m_context, [&] { return second.network.directory().entries.size() == entries.size(); });
    }

    // Guards against directories that stay different when each has an entry that the other lacks.
    void directoriesConverge()
    {
        const std::uint16_t port = freePort();
        Process first(m_context, 1, port);
        Process second(m_context, 2, port);
        const std::vector<PeerEntry> known = hundredAgents();
        first.network.updateEntries(known);
        second.network.updateEntries(known);
        first.network.updateEntries({ { .name = "agent-200", .address = host(200).to_uint(), .epoch = 3 } });
        second.network.updateEntries({ { .name = "agent-10", .address = host(10).to_uint(), .state = PeerState::Gone, .epoch = 4 } });
        first.network.compareDirectory(host(2).to_uint());
        runUntil(m_context, [&] { return digestOf(first.network.directory()) == digestOf(second.network.directory()); });
        CPPUNIT_ASSERT(first.network.directory().entries.at("agent-10").state == PeerState::Gone);
        CPPUNIT_ASSERT(second.network.directory().entries.contains("agent-200"));
    }

    // Guards against control traffic that nobody can tell from the callers' packets.
    // Guards against a new host that is taken for the former one at its address because that one's clock was ahead.
    void processStandsAboveFormerNamesOfItsAddress()
    {
        const std::uint16_t port = freePort();
        Process next(m_context, 1, port);
        Process other(m_context, 2, port);
        const PeerEntry announced = next.network.announce({ .name = "next", .address = host(1).to_uint(), .dataCentre = "north", .service = "board", .slots = 5 });
        other.network.announce({ .name = "other", .role = PeerRole::Balancer, .address = host(2).to_uint(), .dataCentre = "north" });
        other.network.updateEntry(announced);
        other.network.updateEntry({ .name = "former", .address = host(1).to_uint(), .dataCentre = "north", .service = "intake", .slots = 5, .epoch = announced.epoch + 5000 });
        CPPUNIT_ASSERT(readyAgentsOf(other.network.directory(), "board").empty());
        runUntil(m_context, [&] { return readyAgentsOf(other.network.directory(), "board").size() == 1; });
        CPPUNIT_ASSERT(readyAgentsOf(other.network.directory(), "intake").empty());
    }

    void trafficIsCountedByKind()
    {
        const std::uint16_t port = freePort();
        Process first(m_context, 1, port);
        const Process second(m_context, 2, port);
        first.network.compareDirectory(host(2).to_uint());
        first.network.send(host(2).to_uint(), { .kind = wire::PeerKind::Ping });
        const auto hasLine = [](const Process& process, const char* line) { return process.metrics().find(line) != std::string::npos; };
        runUntil(m_context, [&] { return hasLine(second, R"(kingcuptrail_peer_messages_received_total{reason="ping"} 1)"); });
        CPPUNIT_ASSERT(hasLine(first, R"(kingcuptrail_peer_messages_sent_total{reason="ping"} 1)"));
        CPPUNIT_ASSERT(hasLine(first, R"(kingcuptrail_peer_messages_sent_total{reason="directoryDigests"} 1)"));
        CPPUNIT_ASSERT(!hasLine(first, R"(kingcuptrail_peer_bytes_sent_total{reason="directoryDigests"} 0)"));
    }

    asio::io_context m_context;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPeerNetwork);
