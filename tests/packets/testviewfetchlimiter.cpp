#include "libdecision/viewfetchlimiter.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

/// All processes start within a third of a second, most have no view, and callers wait.
class TestViewFetchLimiter : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestViewFetchLimiter);
    CPPUNIT_TEST(directoryDoesNotDelayTheFirstConfiguration);
    CPPUNIT_TEST(failedFetchDoesNotDelayTheFirstConfiguration);
    CPPUNIT_TEST(seriesOfVersionsIsFetchedAtIntervals);
    CPPUNIT_TEST(directoryIsFetchedMoreRarelyInALargeFleet);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a new process that fetches the directory from an equally new one and then ignores the configuration
    // that another peer offers.
    void directoryDoesNotDelayTheFirstConfiguration()
    {
        ViewFetchLimiter limiter { .startedAt = 1000 };
        CPPUNIT_ASSERT(tryBeginDirectoryFetch(limiter, 0, 1010));
        CPPUNIT_ASSERT(tryBeginRoutesFetch(limiter, 0, 7, 1011));
    }

    // Guards against a delay of the first configuration after the peer that offered it was killed during the transfer.
    void failedFetchDoesNotDelayTheFirstConfiguration()
    {
        ViewFetchLimiter limiter { .startedAt = 1000 };
        CPPUNIT_ASSERT(tryBeginRoutesFetch(limiter, 0, 7, 1010));
        CPPUNIT_ASSERT(tryBeginRoutesFetch(limiter, 0, 7, 1015));
        CPPUNIT_ASSERT(!tryBeginRoutesFetch(limiter, 0, 0, 1020));
    }

    // Guards against slow links carrying every version of a quick series.
    void seriesOfVersionsIsFetchedAtIntervals()
    {
        ViewFetchLimiter limiter;
        const Millis interval = limiter.options.routesInterval;
        CPPUNIT_ASSERT(tryBeginRoutesFetch(limiter, 3, 4, 5000));
        CPPUNIT_ASSERT(!tryBeginRoutesFetch(limiter, 4, 5, 5000 + interval - 1));
        CPPUNIT_ASSERT(tryBeginRoutesFetch(limiter, 4, 6, 5000 + interval));
    }

    // Guards against a cost of directory repairs that grows with the fleet.
    void directoryIsFetchedMoreRarelyInALargeFleet()
    {
        constexpr std::size_t entries = 5000;
        ViewFetchLimiter limiter { .startedAt = 0 };
        const Millis later = limiter.options.learningTime + 1;
        CPPUNIT_ASSERT(tryBeginDirectoryFetch(limiter, entries, later));
        const Millis interval = static_cast<Millis>(entries) * limiter.options.intervalPerEntry;
        CPPUNIT_ASSERT(!tryBeginDirectoryFetch(limiter, entries, later + interval - 1));
        CPPUNIT_ASSERT(tryBeginDirectoryFetch(limiter, entries, later + interval));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestViewFetchLimiter);
