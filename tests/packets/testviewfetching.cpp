#include "libdecision/viewfetching.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

/// All processes start within a third of a second, most have no view, and callers wait.
class TestViewFetching : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestViewFetching);
    CPPUNIT_TEST(directoryDoesNotDelayTheFirstConfiguration);
    CPPUNIT_TEST(failedFetchDoesNotDelayTheFirstConfiguration);
    CPPUNIT_TEST(seriesOfVersionsIsFetchedAtIntervals);
    CPPUNIT_TEST(directoryIsFetchedMoreRarelyInALargeFleet);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a new process that fetches the directory from an equally new one and then ignores the configuration
    // that another peer offers.
    void directoryDoesNotDelayTheFirstConfiguration()
    {
        ViewFetching fetching { .startedAt = 1000 };
        CPPUNIT_ASSERT(beginDirectoryFetch(fetching, 0, 1010));
        CPPUNIT_ASSERT(beginRoutesFetch(fetching, 0, 7, 1011));
    }

    // Guards against a delay of the first configuration after the peer that offered it was killed during the transfer.
    void failedFetchDoesNotDelayTheFirstConfiguration()
    {
        ViewFetching fetching { .startedAt = 1000 };
        CPPUNIT_ASSERT(beginRoutesFetch(fetching, 0, 7, 1010));
        CPPUNIT_ASSERT(beginRoutesFetch(fetching, 0, 7, 1015));
        CPPUNIT_ASSERT(!beginRoutesFetch(fetching, 0, 0, 1020));
    }

    // Guards against slow links carrying every version of a quick series.
    void seriesOfVersionsIsFetchedAtIntervals()
    {
        ViewFetching fetching;
        const Millis interval = fetching.options.routesInterval;
        CPPUNIT_ASSERT(beginRoutesFetch(fetching, 3, 4, 5000));
        CPPUNIT_ASSERT(!beginRoutesFetch(fetching, 4, 5, 5000 + interval - 1));
        CPPUNIT_ASSERT(beginRoutesFetch(fetching, 4, 6, 5000 + interval));
    }

    // Guards against a cost of directory repairs that grows with the fleet.
    void directoryIsFetchedMoreRarelyInALargeFleet()
    {
        constexpr std::size_t entries = 5000;
        ViewFetching fetching { .startedAt = 0 };
        const Millis later = fetching.options.learningTime + 1;
        CPPUNIT_ASSERT(beginDirectoryFetch(fetching, entries, later));
        const Millis interval = static_cast<Millis>(entries) * fetching.options.intervalPerEntry;
        CPPUNIT_ASSERT(!beginDirectoryFetch(fetching, entries, later + interval - 1));
        CPPUNIT_ASSERT(beginDirectoryFetch(fetching, entries, later + interval));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestViewFetching);
