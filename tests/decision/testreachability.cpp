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

    // An upstream's process is killed. Its agent refuses at once, looks idle, and draws the flows of all others.
    // It has to say so after two refused connections, and to take work again with the first accepted one.
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
