#include "libmodel/eventloop.h"
#include "libmodel/message.h"
#include "libmodel/metrics.h"
#include "libmodel/modelupstream.h"
#include "libmodel/simulation.h"
#include "libprotocol/framing.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

namespace {

/// Twelve seconds of a small deployment in which one target drains and one balancer is killed.
ExperimentSpec smallExperiment()
{
    return {
        .name = "small",
        .seed = 7,
        .warmUp = 3000,
        .duration = 12000,
        .deployment = {
            .dataCentres = { "north", "south" },
            .balancers = 3,
            .services = { { .name = "board", .targets = 4, .slots = 4, .flowsPerTarget = 50 } },
        },
        .loads = { { .service = "board", .utilisation = 0.4, .onceShare = 0.3, .flowInterval = 1000 } },
        .failures = {
            { .at = 2000, .kind = FailureKind::Drain, .target = 1 },
            { .at = 4000, .kind = FailureKind::BalancerKill, .target = 0 },
        },
    };
}

Metrics runSmall(PolicyName policy)
{
    Simulation simulation(smallExperiment(), policyOptions(policy));
    simulation.run();
    return simulation.metrics();
}

std::uint64_t brokenFlows(const Metrics& metrics)
{
    std::uint64_t sum = 0;
    for (const std::uint64_t count : metrics.broken)
        sum += count;
    return sum;
}

}

class TestModel : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestModel);
    CPPUNIT_TEST(simultaneousEventsRunInScheduledOrder);
    CPPUNIT_TEST(coldUpstreamSlowsDownUnderOverload);
    CPPUNIT_TEST(imbalanceIsMaxOverMean);
    CPPUNIT_TEST(plannedChangeBreaksFlowsOnlyWithoutTokens);
    CPPUNIT_TEST(messageSizesMatchFrames);
    CPPUNIT_TEST_SUITE_END();

    void simultaneousEventsRunInScheduledOrder()
    {
        EventLoop loop;
        std::string order;
        loop.at(20, [&] { order += 'c'; });
        loop.at(10, [&] {
            order += 'a';
            loop.after(10, [&] { order += 'd'; });
        });
        loop.at(10, [&] { order += 'b'; });
        loop.runUntil(15);
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), order);
        loop.runUntil(20);
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), order);
    }

    void coldUpstreamSlowsDownUnderOverload()
    {
        EventLoop loop;
        ModelUpstream upstream(loop, { .slots = 4, .coldDuration = 4000 });
        std::vector<Micros> ended;
        const auto recordEnd = [&](bool) { ended.push_back(loop.now()); };
        CPPUNIT_ASSERT(upstream.start(1, 1000, recordEnd) == StartResult::Started);
        CPPUNIT_ASSERT(upstream.start(2, 1000, recordEnd) == StartResult::Started);
        loop.runUntil(toMicros(4000));
        CPPUNIT_ASSERT_EQUAL(Micros { 1000 }, ended[0]);
        CPPUNIT_ASSERT_EQUAL(Micros { 2000 }, ended[1]);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4, upstream.bearable(), 0.001);
    }

    void imbalanceIsMaxOverMean()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, imbalanceOf({ 10, 30 }).maxOverMean, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, imbalanceOf({ 10, 30 }).variation, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, imbalanceOf({}).maxOverMean, 1e-9);
    }

    void plannedChangeBreaksFlowsOnlyWithoutTokens()
    {
        const Metrics full = runSmall(PolicyName::Full);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, brokenFlows(full));
        CPPUNIT_ASSERT(full.ended[static_cast<std::size_t>(RequestEnd::Answered)] > 100);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, full.duplicateRuns);
        CPPUNIT_ASSERT(brokenFlows(runSmall(PolicyName::Modulo)) > 50);
    }

    void messageSizesMatchFrames()
    {
        wire::PacketT packet;
        packet.kind = wire::PacketKind::Segment;
        packet.service = packet.flow = packet.source = packet.owner_upstream = packet.owner_incarnation = 1ULL << 40;
        packet.sequence = 1;
        wire::HeartbeatT heartbeat;
        heartbeat.config_version = 1;
        heartbeat.open_flows = heartbeat.busy = heartbeat.queued = heartbeat.limit = 1;
        const auto sizeOf = [](auto body) { return static_cast<double>(encodeFrameOf(std::move(body)).size()); };
        constexpr double tolerance = 16;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(sizeOf(packet), static_cast<double>(encodedBytes(FlowPacket {})), tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(sizeOf(heartbeat), static_cast<double>(encodedBytes(HeartbeatMessage {})), tolerance);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestModel);
