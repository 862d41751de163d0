#include "libdecision/idleclose.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestIdleClose : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestIdleClose);
    CPPUNIT_TEST(unexplainedCloseIndicatesRestart);
    CPPUNIT_TEST(regularIdleCloseIsNoRestart);
    CPPUNIT_TEST(restartBetweenIdleClosesIsDetected);
    CPPUNIT_TEST_SUITE_END();

    // Guards against sending the load of a warm upstream to one that was restarted while idle.
    void unexplainedCloseIndicatesRestart()
    {
        IdleCloseHistory history;
        CPPUNIT_ASSERT(indicatesRestart(history, {}, 8000, false));
        CPPUNIT_ASSERT(!indicatesRestart(history, {}, 40000, true));
    }

    // Guards against a warm-up each time that a working upstream closes an idle connection.
    void regularIdleCloseIsNoRestart()
    {
        IdleCloseHistory history;
        indicatesRestart(history, {}, 60000, false);
        for (const Millis lifetime : { 60010, 64000, 60500 })
            CPPUNIT_ASSERT(!indicatesRestart(history, {}, lifetime, false));
        IdleCloseHistory shortLived;
        indicatesRestart(shortLived, {}, 5, false);
        CPPUNIT_ASSERT(!indicatesRestart(shortLived, {}, 7, false));
    }

    // Guards against a restart that is mistaken for another idle close.
    void restartBetweenIdleClosesIsDetected()
    {
        IdleCloseHistory history;
        indicatesRestart(history, {}, 60000, false);
        CPPUNIT_ASSERT(indicatesRestart(history, {}, 25000, false));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestIdleClose);
