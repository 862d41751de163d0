#include "libmodel/admissionmodel.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

/// Admission under two patterns of overload: callers with deadlines and retries exceed the capacity of the upstreams for a
/// long time, and all callers return at once to cold upstreams after a power failure.
class TestAdmissionModel : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestAdmissionModel);
    CPPUNIT_TEST(goodputDoesNotCollapseUnderOverload);
    CPPUNIT_TEST(backlogOfAnOutageDoesNotMakeNewRequestsLate);
    CPPUNIT_TEST(backlogDoesNotKeepNewRequestsFromIdleAgents);
    CPPUNIT_TEST(sameSeedGivesTheSameRun);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t seeds = 5;

    static AdmissionOutcome runSeeds(AdmissionModelOptions options)
    {
        std::vector<AdmissionOutcome> outcomes;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            options.seed = seed;
            outcomes.push_back(sumOf(runAdmissionModel(options)));
        }
        return sumOf(outcomes);
    }

    static AdmissionOutcome runOutage(AdmissionOrder order, LoadNews news)
    {
        return runSeeds({ .coldFactor = 1.6, .coldFor = 2000, .outage = 1400, .duration = 2500, .order = order, .news = news });
    }

    // Guards against a collapse of goodput: once the load exceeds the capacity, a first-come queue makes all answers late.
    void goodputDoesNotCollapseUnderOverload()
    {
        constexpr Millis duration = 8000;
        const AdmissionOutcome atCapacity = runSeeds({ .load = 1.0, .duration = duration });
        for (const double load : { 1.5, 2.0, 3.0 })
            CPPUNIT_ASSERT(runSeeds({ .load = load, .duration = duration }).inTime > atCapacity.inTime * 9 / 10);
        const AdmissionOutcome inOrder = runSeeds({ .load = 3.0, .duration = duration, .order = AdmissionOrder::Arrival });
        CPPUNIT_ASSERT(inOrder.inTime < atCapacity.inTime / 10);
    }

    // Guards against new requests that become late because they queue behind requests that are late already.
    void backlogOfAnOutageDoesNotMakeNewRequestsLate()
    {
        const AdmissionOutcome inOrder = runOutage(AdmissionOrder::Arrival, LoadNews::TimelyWaiting);
        const AdmissionOutcome lateAside = runOutage(AdmissionOrder::LateInIdleSlots, LoadNews::TimelyWaiting);
        CPPUNIT_ASSERT_EQUAL(inOrder.asked, lateAside.asked);
        CPPUNIT_ASSERT(lateAside.inTime > 2 * inOrder.inTime);
        CPPUNIT_ASSERT(lateAside.inTime > lateAside.asked * 3 / 4);
    }

    // Guards against reports of load that include late openings: new requests then all go to the agents with the shortest
    // backlog, although other agents could serve them in time as well.
    void backlogDoesNotKeepNewRequestsFromIdleAgents()
    {
        const AdmissionOutcome allTold = runOutage(AdmissionOrder::LateInIdleSlots, LoadNews::AllWaiting);
        const AdmissionOutcome timelyTold = runOutage(AdmissionOrder::LateInIdleSlots, LoadNews::TimelyWaiting);
        CPPUNIT_ASSERT(timelyTold.inTime > allTold.inTime);
    }

    void sameSeedGivesTheSameRun()
    {
        const AdmissionModelOptions options { .seed = 9, .outage = 600 };
        CPPUNIT_ASSERT_EQUAL(sumOf(runAdmissionModel(options)).inTime, sumOf(runAdmissionModel(options)).inTime);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAdmissionModel);
