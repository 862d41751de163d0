#include "libdecision/reachability.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestReachability : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestReachability);
    CPPUNIT_TEST(singleFailureIsIgnored);
    CPPUNIT_TEST(reachabilityChangesOnce);
    CPPUNIT_TEST(failedConnectionIndicatesReplacement);
    CPPUNIT_TEST_SUITE_END();

    void singleFailureIsIgnored()
    {
        Reachability state;
        CPPUNIT_ASSERT(!recordConnectAttempt(state, {}, false));
        CPPUNIT_ASSERT(!recordConnectAttempt(state, {}, true));
        CPPUNIT_ASSERT(!recordConnectAttempt(state, {}, false));
        CPPUNIT_ASSERT(state.isReachable);
    }

    // Guards against an agent that attracts flows while its upstream is down, since it refuses at once and looks idle. It
    // has to report the upstream as unreachable after two refused connections, and as reachable with the first accepted one.
    void reachabilityChangesOnce()
    {
        for (const bool guard : { true, false }) {
            Reachability state;
            const ReachabilityOptions options { .guard = guard };
            recordConnectAttempt(state, options, false);
            CPPUNIT_ASSERT_EQUAL(guard, recordConnectAttempt(state, options, false));
            CPPUNIT_ASSERT_EQUAL(!guard, state.isReachable);
            CPPUNIT_ASSERT_EQUAL(guard, recordConnectAttempt(state, options, true));
            CPPUNIT_ASSERT(state.isReachable);
        }
    }

    // Guards against sending the load of a warm upstream to a process that has just replaced it.
    void failedConnectionIndicatesReplacement()
    {
        Reachability state;
        CPPUNIT_ASSERT(!indicatesReplacement(state, true));
        CPPUNIT_ASSERT(indicatesReplacement(state, false));
        recordConnectAttempt(state, {}, false);
        CPPUNIT_ASSERT(!indicatesReplacement(state, false));
        CPPUNIT_ASSERT(indicatesReplacement(state, true));
        recordConnectAttempt(state, {}, true);
        CPPUNIT_ASSERT(!indicatesReplacement(state, true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestReachability);
