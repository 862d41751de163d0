#include "libdecision/admissionqueue.h"
#include "libdecision/routetimes.h"
#include "packetfixtures.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestRouteTimes : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestRouteTimes);
    CPPUNIT_TEST(longAndShortWorkAtOneAgent);
    CPPUNIT_TEST(slowUpstreamIsFollowed);
    CPPUNIT_TEST(coldUpstreamIsFollowedBothWays);
    CPPUNIT_TEST(routesAreBounded);
    CPPUNIT_TEST(timeIsCountedPerRequest);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Millis target = 200;

    static PacketEndpoint routeOf(std::uint16_t port)
    {
        return { .address = 0xc6120001, .port = port };
    }

    static void observe(RouteTimes& times, const PacketEndpoint& route, Millis time, int count)
    {
        for (int index = 0; index < count; ++index)
            recordRouteTime(times, route, time, index);
    }

    // Requests of 10 ms and of 120 ms wait in one queue. Guards against a slot for the long one when its answer would be late
    // anyway, while the short one could still be answered in time.
    void longAndShortWorkAtOneAgent()
    {
        RouteTimes times;
        observe(times, routeOf(1), 10, 7);
        CPPUNIT_ASSERT_EQUAL(target / 2, timelyWait(times, routeOf(1), target));
        observe(times, routeOf(1), 10, 20);
        observe(times, routeOf(2), 120, 20);
        CPPUNIT_ASSERT_EQUAL(Millis { 180 }, timelyWait(times, routeOf(1), target));
        CPPUNIT_ASSERT_EQUAL(Millis { 80 }, timelyWait(times, routeOf(2), target));
        AdmissionQueue queue;
        enqueue(queue, { .flow = flowOf(1), .startedAt = 0, .arrivedAt = 0, .timelyUntil = timelyWait(times, routeOf(1), target) }, 5);
        enqueue(queue, { .flow = flowOf(2), .startedAt = 1, .arrivedAt = 1, .timelyUntil = 1 + timelyWait(times, routeOf(2), target) }, 5);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 1 }, popNext(queue, 90)->flow.caller.port);
    }

    // An upstream's requests take five times as long from one moment on. Guards against openings that are admitted ahead of
    // others although their answers will be late.
    void slowUpstreamIsFollowed()
    {
        RouteTimes times;
        observe(times, routeOf(1), 30, 100);
        CPPUNIT_ASSERT(timelyWait(times, routeOf(1), target) > 160);
        observe(times, routeOf(1), 150, 10);
        CPPUNIT_ASSERT_EQUAL(target / 4, timelyWait(times, routeOf(1), target));
    }

    // An upstream comes back cold, takes three times as long for some requests and warms up. Guards against an estimate that
    // keeps the old time, and against one that keeps the cold time.
    void coldUpstreamIsFollowedBothWays()
    {
        RouteTimes times;
        observe(times, routeOf(1), 30, 100);
        observe(times, routeOf(1), 90, 8);
        CPPUNIT_ASSERT(timelyWait(times, routeOf(1), target) <= 115);
        observe(times, routeOf(1), 30, 30);
        CPPUNIT_ASSERT(timelyWait(times, routeOf(1), target) > 150);
    }

    // Guards against memory that grows with the routes of successive configurations.
    void routesAreBounded()
    {
        RouteTimes times;
        for (std::uint16_t port = 1; port <= 1000; ++port)
            recordRouteTime(times, routeOf(port), 30, port);
        CPPUNIT_ASSERT_EQUAL(times.options.maxRoutes, times.routes.size());
        CPPUNIT_ASSERT(std::ranges::find(times.routes, routeOf(1000), &RouteTime::route) != times.routes.end());
    }

    // Guards against counting the pauses on a flow that carries several requests as time of the upstream.
    void timeIsCountedPerRequest()
    {
        AgentFlows table;
        const auto answerTime = [&](std::uint32_t sequence, Millis sentAt, Millis answeredAt) {
            PacketHeader request = callerPacket(501, 50);
            request.sequence = sequence;
            trackCallerPacket(table, flowOf(1), request, sentAt);
            const auto time = trackUpstreamPacket(table, flowOf(1), upstreamData(50), answeredAt).answerTime;
            CPPUNIT_ASSERT(!trackUpstreamPacket(table, flowOf(1), upstreamData(50), answeredAt + 5).answerTime);
            return time;
        };
        openFlow(table, flowOf(1), 10);
        CPPUNIT_ASSERT(answerTime(201, 16, 60) == Millis { 50 });
        CPPUNIT_ASSERT(answerTime(301, 2000, 2040) == Millis { 40 });
        table = {};
        openFlow(table, flowOf(1), 10);
        CPPUNIT_ASSERT(answerTime(201, 1000, 1030) == Millis { 30 });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRouteTimes);
