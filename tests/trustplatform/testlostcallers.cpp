#include "kingcuptraild/packets/packetbalancer.h"
#include "platform/platformfixture.h"
#include "platform/trustadapter.h"

#include <asio/ip/udp.hpp>

using namespace kingcuptrail;

/// A balancer in the data centre south, with peers in north and east and callers on loopback addresses of their own.
class TestLostCallers : public PlatformFixture {
    CPPUNIT_TEST_SUITE(TestLostCallers);
    CPPUNIT_TEST(silentCallerOfLostDataCentreIsReset);
    CPPUNIT_TEST_SUITE_END();

    static asio::ip::address_v4 host(unsigned char number)
    {
        return asio::ip::address_v4({ 127, 83, 4, number });
    }

    static PeerEntry entryOf(const std::string& name, unsigned char number, PeerRole role, const std::string& dataCentre)
    {
        return { .name = name, .role = role, .address = host(number).to_uint(), .dataCentre = dataCentre, .service = "board" };
    }

    struct Peer {
        Peer(asio::io_context& context, const PeerEntry& entry, std::uint16_t port)
            : settings { .name = entry.name, .dataCentre = entry.dataCentre, .listen = { asio::ip::address_v4(entry.address), port } }
            , network(context, settings, clock)
        {
            settings.packets.seeds = { { host(1), port } };
            const auto answerPing = [this](const PeerMessage& message, std::uint32_t sender) {
                if (message.kind == wire::PeerKind::Ping)
                    network.send(sender, { .kind = wire::PeerKind::Load });
            };
            CPPUNIT_ASSERT(network.start({ .onFlowMessage = answerPing, .onOutages = [](const std::vector<std::string>&) {} }));
            network.announce(entry);
        }

        Settings settings;
        Clock clock;
        PeerNetwork network;
    };

    /// A packet without data from the caller on this host.
    static std::vector<std::uint8_t> callerPacket(unsigned char caller)
    {
        return { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x10, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, caller, 4, 83, 127, 0xe8, 3, 0xbb, 0x01, 0x01, 0x00, 0x12, 0xc6 };
    }

    static FlowKey flowOf(unsigned char caller)
    {
        DecodeError error = DecodeError::None;
        return flowFromCaller(*trustAdapter().decodePacket(callerPacket(caller), error));
    }

    std::uint16_t freePort() { return asio::ip::udp::socket(m_context, { host(1), 0 }).local_endpoint().port(); }

    // A data centre loses power with balancer, agent and upstream of a flow whose caller waits in silence. Guards against a
    // caller that waits for its whole deadline although other balancers know of its request.
    void silentCallerOfLostDataCentreIsReset()
    {
        const std::uint16_t port = freePort();
        const std::uint16_t ingress = freePort();
        Settings settings { .role = DaemonRole::PacketBalancer, .name = "front-south", .dataCentre = "south", .listen = { host(1), port } };
        settings.packets.ingress = { host(1), ingress };
        settings.packets.ready = { host(1), 0 };
        settings.packets.toleratedDataCentreLosses = 1;
        Clock clock;
        ActiveConfig config;
        Supervisor root(m_context, "root");
        const RoleContext role { m_context, settings, m_options, clock, config, root };
        const PacketBalancer balancer(role, trustAdapter());
        const auto metrics = [&balancer] {
            std::string text;
            balancer.exposeMetrics(text);
            return text;
        };
        Peer east(m_context, entryOf("agent-east", 2, PeerRole::Agent, "east"), port);
        auto north = std::make_unique<Peer>(m_context, entryOf("agent-north", 3, PeerRole::Agent, "north"), port);
        east.network.updateEntry(entryOf("front-north", 4, PeerRole::Balancer, "north"));
        east.network.updateRoutes({ .version = 1, .routes = { { .address = flowOf(10).service, .shares = { { .service = "board" } }, .timeout = 4000 } } });
        runUntil(m_context, [&] { return metrics().find("kingcuptrail_routes_version 1\n") != std::string::npos && metrics().find("kingcuptrail_directory_entries 4\n") != std::string::npos; });
        std::vector<PendingRequest> requests;
        for (unsigned char caller = 10; caller < 14; ++caller)
            requests.push_back({ .flow = flowOf(caller), .balancer = host(4).to_uint(), .acknowledged = 77 });
        north->network.send(host(1).to_uint(), { .kind = wire::PeerKind::PendingRequests, .configVersion = 1, .pending = requests });
        runUntil(m_context, [&] { return metrics().find("kingcuptrail_pending_records 4\n") != std::string::npos; });
        north.reset();
        asio::ip::udp::socket silentCaller(m_context, { host(13), ingress });
        silentCaller.non_blocking(true);
        std::array<std::uint8_t, packetHeaderBytes> reset {};
        // The other callers send packets, which the routers bring here once they have missed answers of the balancers there.
        Millis sentAt = clock.now() + 200;
        runUntil(m_context, [&] {
            for (unsigned char caller = 10; clock.now() - sentAt > 50 && caller < 13; ++caller)
                silentCaller.send_to(asio::buffer(callerPacket(caller)), { host(1), ingress });
            sentAt = clock.now() - sentAt > 50 ? clock.now() : sentAt;
            asio::error_code error;
            return silentCaller.receive(asio::buffer(reset), 0, error) == packetHeaderBytes;
        });
        CPPUNIT_ASSERT(reset == trustAdapter().encodeReset(flowOf(13), 77));
        CPPUNIT_ASSERT(metrics().find(R"(kingcuptrail_flow_resets_total{reason="dataCentreLost"} 4)") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLostCallers);
