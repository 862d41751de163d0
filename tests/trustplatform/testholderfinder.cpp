#include "kingcuptraild/packets/holderfinder.h"
#include "platform/trustadapter.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestHolderFinder : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestHolderFinder);
    CPPUNIT_TEST(runningSearchTakesPacketsAtTheLimit);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestHolderFinder);
