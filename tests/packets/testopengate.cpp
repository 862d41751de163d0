#include "packetfixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestOpenGate : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestOpenGate);
    CPPUNIT_TEST(admitsWhenAllIsKnown);
    CPPUNIT_TEST(drainingTakesEffectWithTheReport);
    CPPUNIT_TEST(silentUpstreamGetsNothingBeforeItsAddressIsReused);
    CPPUNIT_TEST(lateReportOfADeadProcessChangesNothing);
    CPPUNIT_TEST(dataCentreOutHoldsUntilItIsBack);
    CPPUNIT_TEST(newerConfigurationDecides);
    CPPUNIT_TEST(nothingIsAdmittedOnAnOldView);
    CPPUNIT_TEST(coldUpstreamGetsItsRateInAnySecond);
    CPPUNIT_TEST(withoutARateAColdUpstreamIsBoundedByItsWork);
    CPPUNIT_TEST(returningDataCentreCountsAsCold);
    CPPUNIT_TEST(passingReasonsAreTheOnesThatTimeMends);
    CPPUNIT_TEST_SUITE_END();

    RouteTable m_routes;
    OutageView m_outages;
    OpenGate m_gate;

public:
    void setUp() override
    {
        m_routes = routesTo("board", 7);
        m_outages = { .revision = 3, .out = {} };
        m_gate = {};
        takeReport(m_gate, reportOf(1000, 1), 0);
    }

private:
    OpenRefusal decide(Millis now, ConfigVersion balancerVersion = 7, std::uint32_t atWork = 0)
    {
        return decideOpen(m_gate, m_routes, m_outages, { .address = flowOf(1).service, .balancerVersion = balancerVersion, .atWork = atWork }, now);
    }

    void admitsWhenAllIsKnown()
    {
        CPPUNIT_ASSERT(decide(10) == OpenRefusal::None);
        CPPUNIT_ASSERT(decide(10, 7, 9) == OpenRefusal::None);
        CPPUNIT_ASSERT(decide(10, 7, 10) == OpenRefusal::Busy);
        const OpenAttempt attempt { .address = flowOf(1).service, .balancerVersion = 7, .atWork = 5, .needsFreeSlot = true };
        CPPUNIT_ASSERT(decideOpen(m_gate, m_routes, m_outages, attempt, 10) == OpenRefusal::Busy);
        m_gate.isLeaving = true;
        CPPUNIT_ASSERT(decide(10) == OpenRefusal::AgentLeaving);
        m_gate = {};
        CPPUNIT_ASSERT(decide(10) == OpenRefusal::NoUpstream);
    }

    void drainingTakesEffectWithTheReport()
    {
        UpstreamReport report = reportOf(1000, 2);
        report.isDraining = true;
        CPPUNIT_ASSERT(takeReport(m_gate, report, 10) == ReportNews::Changed);
        CPPUNIT_ASSERT(decide(10) == OpenRefusal::UpstreamDraining);
    }

    // An upstream crashes without notice, and two seconds later its address belongs to another service. Openings must end
    // before that, or they would be served by the wrong service.
    void silentUpstreamGetsNothingBeforeItsAddressIsReused()
    {
        CPPUNIT_ASSERT(decide(1900) == OpenRefusal::None);
        CPPUNIT_ASSERT(decide(1901) == OpenRefusal::NoUpstream);
        CPPUNIT_ASSERT(!isServing(m_gate, 1901));
    }

    // A report that was delayed by a partition arrives after its sender has crashed and a new process has reported for the
    // same address. It must not restore the old process's state and service.
    void lateReportOfADeadProcessChangesNothing()
    {
        CPPUNIT_ASSERT(takeReport(m_gate, reportOf(2000, 1), 10) == ReportNews::NewProcess);
        UpstreamReport late = reportOf(1000, 9);
        late.isDraining = true;
        CPPUNIT_ASSERT(takeReport(m_gate, late, 20) == ReportNews::Stale);
        CPPUNIT_ASSERT(decide(20) == OpenRefusal::None);
        CPPUNIT_ASSERT(takeReport(m_gate, reportOf(2000, 1), 30) == ReportNews::Stale);
        CPPUNIT_ASSERT(!takeFarewell(m_gate, "i-1000"));
        CPPUNIT_ASSERT(decide(30) == OpenRefusal::None);
        CPPUNIT_ASSERT(takeFarewell(m_gate, "i-2000"));
        CPPUNIT_ASSERT(decide(30) == OpenRefusal::UpstreamDraining);
    }

    void dataCentreOutHoldsUntilItIsBack()
    {
        CPPUNIT_ASSERT(offerOutages(m_outages, { .revision = 5, .out = { "north" } }));
        CPPUNIT_ASSERT(decide(10) == OpenRefusal::DataCentreOut);
        // An outdated update from a peer that does not have revision 5 yet.
        CPPUNIT_ASSERT(!offerOutages(m_outages, { .revision = 4, .out = {} }));
        CPPUNIT_ASSERT(decide(10) == OpenRefusal::DataCentreOut);
        CPPUNIT_ASSERT(offerOutages(m_outages, { .revision = 6, .out = {} }));
        CPPUNIT_ASSERT(decide(10) == OpenRefusal::None);
    }

    // A route moves to another service, and balancer and agent learn of it at different times. The newer configuration of
    // the two decides, or a caller would see the new configuration and then the old one again.
    void newerConfigurationDecides()
    {
        CPPUNIT_ASSERT(offerRoutes(m_routes, routesTo("intake", 9)));
        CPPUNIT_ASSERT(decide(10, 7) == OpenRefusal::WrongService);
        CPPUNIT_ASSERT(decide(10, 9) == OpenRefusal::WrongService);
        CPPUNIT_ASSERT(decide(10, 11) == OpenRefusal::None);
        CPPUNIT_ASSERT(!offerRoutes(m_routes, routesTo("board", 8)));
    }

    void nothingIsAdmittedOnAnOldView()
    {
        m_gate.isViewInDoubt = true;
        CPPUNIT_ASSERT(decide(10) == OpenRefusal::ViewInDoubt);
        m_gate.isViewInDoubt = false;
        m_outages = {};
        CPPUNIT_ASSERT(decide(10) == OpenRefusal::NoConfiguration);
    }

    // A cold upstream is offered far more than its rate for three seconds. In no interval of one second may more openings
    // be admitted than the rate allows.
    void coldUpstreamGetsItsRateInAnySecond()
    {
        constexpr Millis second = 1000;
        m_routes.services.front().coldRate = 4;
        std::vector<Millis> admitted;
        for (Millis now = 0; now < 3 * second; now += 7) {
            UpstreamReport report = reportOf(1000, static_cast<std::uint64_t>(now) + 2);
            report.coldLeft = second;
            takeReport(m_gate, report, now);
            if (decide(now) == OpenRefusal::None)
                admitted.push_back(now);
        }
        CPPUNIT_ASSERT(admitted.size() >= 8);
        for (std::size_t index = 4; index < admitted.size(); ++index)
            CPPUNIT_ASSERT(admitted[index] - admitted[index - 4] > second);
    }

    // All upstreams restart cold after a power failure and no rate is configured. Guards against a rate that the agent
    // chooses itself, with which nearly all openings were refused for the warm-up of two seconds.
    void withoutARateAColdUpstreamIsBoundedByItsWork()
    {
        UpstreamReport report = reportOf(1000, 2);
        report.coldLeft = 2000;
        takeReport(m_gate, report, 0);
        for (int opening = 0; opening < 100; ++opening)
            CPPUNIT_ASSERT(decide(10, 7, 5) == OpenRefusal::None);
        CPPUNIT_ASSERT(decide(10, 7, 10) == OpenRefusal::Busy);
    }

    void returningDataCentreCountsAsCold()
    {
        m_routes.services.front().coldRate = 2;
        assumeCold(m_gate, m_routes, 100);
        CPPUNIT_ASSERT(decide(101) == OpenRefusal::None);
        CPPUNIT_ASSERT(decide(102) == OpenRefusal::None);
        CPPUNIT_ASSERT(decide(103) == OpenRefusal::Cold);
        takeReport(m_gate, reportOf(1000, 2), 200);
        CPPUNIT_ASSERT(decide(201) == OpenRefusal::None);
    }

    void passingReasonsAreTheOnesThatTimeMends()
    {
        for (const OpenRefusal reason : { OpenRefusal::NoUpstream, OpenRefusal::ViewInDoubt, OpenRefusal::NoConfiguration, OpenRefusal::Cold, OpenRefusal::Busy })
            CPPUNIT_ASSERT(isPassing(reason));
        for (const OpenRefusal reason : { OpenRefusal::UpstreamDraining, OpenRefusal::AgentLeaving, OpenRefusal::DataCentreOut, OpenRefusal::WrongService, OpenRefusal::FlowLimit, OpenRefusal::Returned, OpenRefusal::WaitedTooLong })
            CPPUNIT_ASSERT(!isPassing(reason));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOpenGate);
