#include "libdecision/idlelimits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unordered_map>

using namespace kingcuptrail;

class TestIdleLimits : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestIdleLimits);
    CPPUNIT_TEST(longestLimitSinceTheLastPacketApplies);
    CPPUNIT_TEST(lifetimeBoundsEveryLimit);
    CPPUNIT_TEST(unknownLimitKeepsFlows);
    CPPUNIT_TEST(largestLimitsDoNotOverflow);
    CPPUNIT_TEST(manyChangesAreBounded);
    CPPUNIT_TEST(longestIdleEntriesAreFound);
    CPPUNIT_TEST_SUITE_END();

    static IdleLimits withLimit(Millis limit) { return { .current = limit, .former = {}, .lifetime = 0, .margin = 100 }; }

    // Guards against ending flows by a limit that is shorter than one that was in force while they were idle.
    void longestLimitSinceTheLastPacketApplies()
    {
        IdleLimits limits = withLimit(30000);
        applyIdleLimit(limits, 20000, 1000);
        applyIdleLimit(limits, 10000, 2000);
        CPPUNIT_ASSERT_EQUAL(Millis { 30599 }, idleDeadline(limits, 499));
        CPPUNIT_ASSERT_EQUAL(Millis { 21600 }, idleDeadline(limits, 1500));
        CPPUNIT_ASSERT_EQUAL(Millis { 12600 }, idleDeadline(limits, 2500));
        CPPUNIT_ASSERT_EQUAL(Millis { 31100 }, allIdleAt(limits, 5000));
        applyIdleLimit(limits, 40000, 3000);
        CPPUNIT_ASSERT_EQUAL(Millis { 40599 }, idleDeadline(limits, 499));
        const std::vector<IdleLimitAge> ages = formerLimitAges(limits, 3000);
        CPPUNIT_ASSERT(ages.size() == 2 && ages[0] == (IdleLimitAge { .limit = 30000, .age = 2000 }));
        applyIdleLimit(limits, 5000, 31200);
        CPPUNIT_ASSERT(limits.former == (std::vector<FormerIdleLimit> { { .limit = 40000, .until = 31200 } }));
        applyIdleLimit(limits, 5000, 71301);
        CPPUNIT_ASSERT(limits.former.empty());
    }

    // Guards against tables that grow, and agents that stay unsure, for as long as a very long limit says.
    void lifetimeBoundsEveryLimit()
    {
        IdleLimits limits = withLimit(3600000);
        limits.lifetime = 60000;
        CPPUNIT_ASSERT_EQUAL(Millis { 60110 }, idleDeadline(limits, 10));
        CPPUNIT_ASSERT_EQUAL(Millis { 60110 }, allIdleAt(limits, 10));
        limits.current.reset();
        CPPUNIT_ASSERT_EQUAL(Millis { 60110 }, allIdleAt(limits, 10));
    }

    // Guards against a process without a configuration that ends flows by a limit of its own.
    void unknownLimitKeepsFlows()
    {
        CPPUNIT_ASSERT_EQUAL(neverIdle, idleDeadline({}, 10));
        CPPUNIT_ASSERT_EQUAL(neverIdle, allIdleAt({}, 10));
    }

    void largestLimitsDoNotOverflow()
    {
        IdleLimits limits = withLimit(neverIdle);
        CPPUNIT_ASSERT_EQUAL(neverIdle, idleDeadline(limits, 10));
        applyIdleLimit(limits, 10, 20);
        CPPUNIT_ASSERT_EQUAL(neverIdle, idleDeadline(limits, 10));
        CPPUNIT_ASSERT_EQUAL(Millis { 160 }, idleDeadline(limits, 50));
    }

    // Guards against memory that grows with each change of a limit, and against forgetting the longest one.
    void manyChangesAreBounded()
    {
        IdleLimits limits = withLimit(100000);
        for (Millis change = 1; change <= 1000; ++change)
            applyIdleLimit(limits, 100000 - change, change);
        CPPUNIT_ASSERT(limits.former.size() <= 16);
        for (Millis packetAt = 0; packetAt < 1000; ++packetAt)
            CPPUNIT_ASSERT(idleDeadline(limits, packetAt) >= packetAt + 100000 - packetAt + limits.margin);
    }

    void longestIdleEntriesAreFound()
    {
        std::unordered_map<int, Millis> entries;
        for (int key = 0; key < 50; ++key)
            entries[key] = 1000 + key;
        std::vector<int> oldest = longestIdle(entries, 3, [](Millis usedAt) { return usedAt; });
        std::ranges::sort(oldest);
        CPPUNIT_ASSERT(oldest == (std::vector<int> { 0, 1, 2 }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 50 }, longestIdle(entries, 99, [](Millis usedAt) { return usedAt; }).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestIdleLimits);
