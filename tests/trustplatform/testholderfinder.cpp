#include "kingcuptraild/packets/holderfinder.h"
#include "platform/trustadapter.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestHolderFinder : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestHolderFinder);
    CPPUNIT_TEST(runningSearchTakesPacketsAtTheLimit);
    CPPUNIT_TEST(hostWithSeveralNamesIsAskedOnce);
    CPPUNIT_TEST(lostCacheCostsThreeMessagesAFlow);
    CPPUNIT_TEST(deniedByLikelyHoldersAsksEveryDataCentre);
    CPPUNIT_TEST(silentLikelyHoldersAreNotWaitedFor);
    CPPUNIT_TEST_SUITE_END();

    static PacketHeader packetOf(std::uint16_t port)
    {
        return { .source = { .address = 0x64400007, .port = port }, .destination = { .address = 0xc6120001, .port = 443 }, .flags = { .acknowledges = true } };
    }

    // After a loss of power a balancer searches for more flows than it may at once. Guards against dropping the further packets
    // of flows that are being searched: their callers would resend them after up to 1.6 s although the holder is found.
    void runningSearchTakesPacketsAtTheLimit()
    {
        asio::io_context context;
        const Settings settings;
        const PlatformOptions platform;
        const Clock clock;
        ActiveConfig config;
        Supervisor root(context, "root");
        BalancerState state({ context, settings, platform, clock, config, root }, trustAdapter());
        HolderFinder finder(state);
        const std::vector<std::uint8_t> packet(40);
        std::uint16_t port = 0;
        const auto count = [&state](CallerPacketOutcome outcome) { return state.packetOutcomes.count(outcome); };
        while (count(CallerPacketOutcome::SearchFull) == 0 && ++port < 10000)
            finder.search(flowFromCaller(packetOf(port)), packetOf(port), packet);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, count(CallerPacketOutcome::SearchFull));
        const std::uint64_t waiting = count(CallerPacketOutcome::Waiting);
        finder.search(flowFromCaller(packetOf(1)), packetOf(1), packet);
        CPPUNIT_ASSERT_EQUAL(waiting + 1, count(CallerPacketOutcome::Waiting));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, count(CallerPacketOutcome::SearchFull));
        root.destroyAll();
    }

    /// A balancer in one of five data centres, with 140 agents in each of them unless told otherwise, all of one service. Each address may
    /// have had several names.
    struct LargeFleet {
        explicit LargeFleet(std::uint32_t hosts = 700, std::uint32_t namesPerHost = 1)
            : settings { .role = DaemonRole::PacketBalancer, .name = "front", .dataCentre = "centre-0", .listen = { asio::ip::address_v4({ 127, 83, 7, 1 }), freePort() } }
            , state({ context, settings, platform, clock, config, root }, trustAdapter())
            , finder(state)
        {
            CPPUNIT_ASSERT(state.network.start({ .onFlowMessage = [](const PeerMessage&, std::uint32_t) {}, .onOutages = [](const std::vector<std::string>&) {} }));
            state.network.updateRoutes({ .version = 1, .routes = { { .address = flow.service, .shares = { { .service = "board" } } } } });
            for (std::uint32_t number = 0; number < hosts * namesPerHost; ++number)
                agents.push_back({ .name = "agent-" + std::to_string(number), .address = firstAddress + number % hosts, .dataCentre = "centre-" + std::to_string(number % hosts % 5), .service = "board", .epoch = 1 });
            state.network.updateEntries(agents);
            finder.search(flow, packetOf(port), std::vector<std::uint8_t>(40));
        }
        ~LargeFleet() { root.destroyAll(); }

        std::uint16_t freePort()
        {
            return asio::ip::udp::socket(context, { asio::ip::address_v4({ 127, 83, 7, 1 }), 0 }).local_endpoint().port();
        }

        /// Number of messages of a kind that the balancer has sent.
        std::uint64_t sent(const std::string& kind) const
        {
            std::string metrics;
            state.network.exposeMetrics(metrics);
            const std::string line = "kingcuptrail_peer_messages_sent_total{reason=\"" + kind + "\"} ";
            return std::stoull(metrics.substr(metrics.find(line) + line.size()));
        }

        std::vector<std::uint32_t> likely() const
        {
            std::vector<std::uint32_t> near;
            for (const PeerEntry& agent : agents) {
                if (agent.dataCentre == settings.dataCentre)
                    near.push_back(agent.address);
            }
            return likelyHolders(flow, near, 3);
        }

        static constexpr std::uint16_t port = 4000;
        static constexpr std::uint32_t firstAddress = 0x7f530801;
        const FlowKey flow = flowFromCaller(packetOf(port));
        asio::io_context context;
        const Settings settings;
        PlatformOptions platform;
        Clock clock;
        ActiveConfig config;
        Supervisor root { context, "root" };
        BalancerState state;
        HolderFinder finder;
        std::vector<PeerEntry> agents;
    };

    // Guards against searches that ask a host once for each name that its address has had, and take few hosts for many.
    void hostWithSeveralNamesIsAskedOnce()
    {
        LargeFleet fleet(10, 4);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 10 }, fleet.sent("find"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, fleet.sent("findNear") + fleet.sent("probe"));
    }

    // A balancer was restarted, or callers were moved to it. Guards against a search that costs a message for every agent of
    // the fleet although the flow's hash tells the holder.
    void lostCacheCostsThreeMessagesAFlow()
    {
        LargeFleet fleet;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, fleet.sent("probe"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, fleet.sent("find"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, fleet.sent("findNear"));
        fleet.finder.handleHolderAnswer({ .kind = wire::PeerKind::Held, .flow = fleet.flow }, fleet.likely()[1]);
        CPPUNIT_ASSERT_EQUAL(fleet.likely()[1], fleet.state.holderCache.at(fleet.flow).agent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, fleet.sent("forward"));
    }

    // The flow was opened elsewhere while the likely agents were busy. Guards against a flow that counts as lost when only
    // these have denied it.
    void deniedByLikelyHoldersAsksEveryDataCentre()
    {
        LargeFleet fleet;
        for (const std::uint32_t agent : fleet.likely())
            fleet.finder.handleHolderAnswer({ .kind = wire::PeerKind::NotHeld, .flow = fleet.flow }, agent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 5 }, fleet.sent("findNear"));
        CPPUNIT_ASSERT(fleet.state.resets.total() == 0);
        fleet.finder.handleDelegatedAnswer({ .kind = wire::PeerKind::HeldNear, .flow = fleet.flow, .holder = LargeFleet::firstAddress + 6 }, LargeFleet::firstAddress + 1);
        CPPUNIT_ASSERT_EQUAL(LargeFleet::firstAddress + 6, fleet.state.holderCache.at(fleet.flow).agent);
    }

    // Guards against a search that waits for agents that have lost power until its caller sends again.
    void silentLikelyHoldersAreNotWaitedFor()
    {
        LargeFleet fleet;
        fleet.finder.tick(fleet.clock.now());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, fleet.sent("findNear"));
        constexpr Millis tickInterval = 20;
        fleet.finder.tick(fleet.clock.now() + tickInterval);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 5 }, fleet.sent("findNear"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestHolderFinder);
