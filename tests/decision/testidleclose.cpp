#include "libdecision/idleclose.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestIdleClose : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestIdleClose);
    CPPUNIT_TEST(endWithoutAWordShowsARestart);
    CPPUNIT_TEST(serverThatClosesIdleConnectionsStaysWarm);
    CPPUNIT_TEST(restartBetweenIdleClosesShows);
    CPPUNIT_TEST_SUITE_END();

    // Guards against the load of a warm upstream for one that was restarted while idle.
    void endWithoutAWordShowsARestart()
    {
        IdleCloseHistory history;
        CPPUNIT_ASSERT(showsRestart(history, {}, 8000, false));
        CPPUNIT_ASSERT(!showsRestart(history, {}, 40000, true));
    }

    // Guards against a warm-up each time that a working upstream closes an idle connection.
    void serverThatClosesIdleConnectionsStaysWarm()
    {
        IdleCloseHistory history;
        showsRestart(history, {}, 60000, false);
        for (const Millis life : { 60010, 64000, 60500 })
            CPPUNIT_ASSERT(!showsRestart(history, {}, life, false));
        IdleCloseHistory impatient;
        showsRestart(impatient, {}, 5, false);
        CPPUNIT_ASSERT(!showsRestart(impatient, {}, 7, false));
    }

    // Guards against a restart that is mistaken for another idle close.
    void restartBetweenIdleClosesShows()
    {
        IdleCloseHistory history;
        showsRestart(history, {}, 60000, false);
        CPPUNIT_ASSERT(showsRestart(history, {}, 25000, false));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestIdleClose);
