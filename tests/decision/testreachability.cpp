#include "libdecision/reachability.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestReachability : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestReachability);
    CPPUNIT_TEST(oneFailureIsNoVerdict);
    CPPUNIT_TEST(downUpstreamLeavesAndComesBackOnce);
    CPPUNIT_TEST(oneFailedConnectionMeansAnotherProcess);
    CPPUNIT_TEST_SUITE_END();

    void oneFailureIsNoVerdict()
    {
        Reachability state;
        CPPUNIT_ASSERT(!noteContact(state, {}, false));
        CPPUNIT_ASSERT(!noteContact(state, {}, true));
        CPPUNIT_ASSERT(!noteContact(state, {}, false));
        CPPUNIT_ASSERT(state.isReachable);
    }

    // Guards against an agent that attracts flows while its upstream is down, since it refuses at once and looks idle. It
    // has to report the upstream as unreachable after two refused connections, and as reachable with the first accepted one.
    void downUpstreamLeavesAndComesBackOnce()
    {
        for (const bool guard : { true, false }) {
            Reachability state;
            const ReachabilityOptions options { .guard = guard };
            noteContact(state, options, false);
            CPPUNIT_ASSERT_EQUAL(guard, noteContact(state, options, false));
            CPPUNIT_ASSERT_EQUAL(!guard, state.isReachable);
            CPPUNIT_ASSERT_EQUAL(guard, noteContact(state, options, true));
            CPPUNIT_ASSERT(state.isReachable);
        }
    }

    // Guards against the load of a warm upstream for a process that has just replaced it.
    void oneFailedConnectionMeansAnotherProcess()
    {
        Reachability state;
        CPPUNIT_ASSERT(!mayBeReplaced(state, true));
        CPPUNIT_ASSERT(mayBeReplaced(state, false));
        noteContact(state, {}, false);
        CPPUNIT_ASSERT(!mayBeReplaced(state, false));
        CPPUNIT_ASSERT(mayBeReplaced(state, true));
        noteContact(state, {}, true);
        CPPUNIT_ASSERT(!mayBeReplaced(state, true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestReachability);
