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

    static AdmissionOutcome runOutage(AdmissionOrder order, LoadReportScope loadReport)
    {
        return runSeeds({ .coldFactor = 1.6, .coldDuration = 2000, .outage = 1400, .duration = 2500, .order = order, .loadReport = loadReport });
    }

    // Guards against a collapse of goodput: once the load exceeds the capacity, a first-come queue makes all answers late.
    void goodputDoesNotCollapseUnderOverload()
    {
        constexpr Millis duration = 8000;
        const AdmissionOutcome atCapacity = runSeeds({ .load = 1.0, .duration = duration });
        for (const double load : { 1.5, 2.0, 3.0 })
            CPPUNIT_ASSERT(runSeeds({ .load = load, .duration = duration }).inTime > atCapacity.inTime * 9 / 10);
        const AdmissionOutcome arrivalOrder = runSeeds({ .load = 3.0, .duration = duration, .order = AdmissionOrder::Arrival });
        CPPUNIT_ASSERT(arrivalOrder.inTime < atCapacity.inTime / 10);
    }

    // Guards against new requests that become late because they queue behind requests that are late already.
    void backlogOfAnOutageDoesNotMakeNewRequestsLate()
    {
        const AdmissionOutcome arrivalOrder = runOutage(AdmissionOrder::Arrival, LoadReportScope::TimelyWaiting);
        const AdmissionOutcome lateInIdleSlots = runOutage(AdmissionOrder::LateInIdleSlots, LoadReportScope::TimelyWaiting);
        CPPUNIT_ASSERT_EQUAL(arrivalOrder.asked, lateInIdleSlots.asked);
        CPPUNIT_ASSERT(lateInIdleSlots.inTime > 2 * arrivalOrder.inTime);
        CPPUNIT_ASSERT(lateInIdleSlots.inTime > lateInIdleSlots.asked * 3 / 4);
    }

    // Guards against reports of load that include late openings: new requests then all go to the agents with the shortest
    // backlog, although other agents could serve them in time as well.
    void backlogDoesNotKeepNewRequestsFromIdleAgents()
    {
        const AdmissionOutcome allReported = runOutage(AdmissionOrder::LateInIdleSlots, LoadReportScope::AllWaiting);
        const AdmissionOutcome timelyReported = runOutage(AdmissionOrder::LateInIdleSlots, LoadReportScope::TimelyWaiting);
        CPPUNIT_ASSERT(timelyReported.inTime > allReported.inTime);
    }

    void sameSeedGivesTheSameRun()
    {
        const AdmissionModelOptions options { .seed = 9, .outage = 600 };
        CPPUNIT_ASSERT_EQUAL(sumOf(runAdmissionModel(options)).inTime, sumOf(runAdmissionModel(options)).inTime);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAdmissionModel);
