#include "libdecision/relaybudget.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestRelayBudget : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestRelayBudget);
    CPPUNIT_TEST(singleChangesArePassedOn);
    CPPUNIT_TEST(restartOfEverythingIsNot);
    CPPUNIT_TEST_SUITE_END();

    // Guards against changes of a release that spread only with the regular rounds of gossip.
    void singleChangesArePassedOn()
    {
        RelayBudget budget;
        for (Millis now = 1000; now < 60000; now += 100)
            CPPUNIT_ASSERT(tryRelay(budget, now));
    }

    // 2,000 processes announce themselves within two seconds. Guards against passing each of them on at every process.
    void restartOfEverythingIsNot()
    {
        RelayBudget budget;
        unsigned relayed = 0;
        for (Millis now = 1000; now < 3000; ++now)
            relayed += tryRelay(budget, now) ? 1 : 0;
        CPPUNIT_ASSERT(relayed >= 32 && relayed <= 48);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRelayBudget);
