#include "kingcuptraild/packets/peerlookup.h"
#include "libplatform/peerentryjson.h"
#include "platform/platformfixture.h"

#include <asio/ip/udp.hpp>

using namespace kingcuptrail;

class TestPeerLookup : public PlatformFixture {
    CPPUNIT_TEST_SUITE(TestPeerLookup);
    CPPUNIT_TEST(fetchesViewFromPeerNamedInStore);
    CPPUNIT_TEST(skipsLookupAfterGossip);
    CPPUNIT_TEST_SUITE_END();

    static asio::ip::address_v4 host(unsigned char number)
    {
        return asio::ip::address_v4({ 127, 83, 4, number });
    }

    struct Process {
        Process(asio::io_context& context, unsigned char number, std::uint16_t port)
            : settings { .name = "process-" + std::to_string(number), .dataCentre = "north", .listen = { host(number), port } }
            , network(context, settings, clock)
        {
            CPPUNIT_ASSERT(network.start({ .onFlowMessage = [](const PeerMessage&, std::uint32_t) {}, .onOutages = [](const std::vector<std::string>&) {} }));
        }

        Settings settings;
        Clock clock;
        PeerNetwork network;
    };

    std::uint16_t freePort()
    {
        return asio::ip::udp::socket(m_context, { host(1), 0 }).local_endpoint().port();
    }

    // Guards against balancers that each read the whole store because their seeds start last: an agent that the store names
    // already has the view.
    void fetchesViewFromPeerNamedInStore()
    {
        const std::uint16_t port = freePort();
        Process agent(m_context, 1, port);
        agent.network.updateRoutes({ .version = 7, .routes = {}, .services = {} });
        const PeerEntry entry { .name = "agent-1", .address = host(1).to_uint(), .dataCentre = "north", .service = "board", .epoch = 3 };
        m_server->store().put("agent", entry.name, toJson(entry), 0);
        Process balancer(m_context, 2, port);
        PeerLookup lookup(m_context, m_options, balancer.network);
        lookup.tick(0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, lookup.callsMade());
        constexpr Millis someTime = 100;
        lookup.tick(someTime);
        runUntil(m_context, [&balancer] { return balancer.network.routes().version == 7; });
        lookup.tick(2 * someTime);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, lookup.callsMade());
    }

    void skipsLookupAfterGossip()
    {
        const std::uint16_t port = freePort();
        Process first(m_context, 1, port);
        Process second(m_context, 2, port);
        first.network.updateEntries({ { .name = "process-2", .address = host(2).to_uint(), .epoch = 3 } });
        first.network.requestGossip(1);
        runUntil(m_context, [&first] { return first.network.lastGossipAt() != 0; });
        PeerLookup lookup(m_context, m_options, first.network);
        lookup.tick(1000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, lookup.callsMade());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPeerLookup);
