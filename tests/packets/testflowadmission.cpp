#include "libdecision/upstreamreports.h"
#include "packetfixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestFlowAdmission : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestFlowAdmission);
    CPPUNIT_TEST(admitsWithACompleteView);
    CPPUNIT_TEST(drainingTakesEffectWithTheReport);
    CPPUNIT_TEST(silentUpstreamGetsNothingBeforeItsAddressIsReused);
    CPPUNIT_TEST(lateReportOfAReplacedProcessIsStale);
    CPPUNIT_TEST(lateReportOfAnEndedProcessIsStale);
    CPPUNIT_TEST(lateReportWithTheSameStartIsStale);
    CPPUNIT_TEST(otherServiceIsNotBelievedWhileTheProcessRuns);
    CPPUNIT_TEST(contradictionLastsUntilTheNextReport);
    CPPUNIT_TEST(copyNeedsTheSameEvidenceAsTheFirstPacket);
    CPPUNIT_TEST(dataCentreOutHoldsUntilItIsBack);
    CPPUNIT_TEST(newerConfigurationDecides);
    CPPUNIT_TEST(openingForAnotherServiceIsRefused);
    CPPUNIT_TEST(nothingIsAdmittedWithoutACurrentView);
    CPPUNIT_TEST(coldRateHoldsInEverySecond);
    CPPUNIT_TEST(withoutARateAColdUpstreamIsBoundedByItsWork);
    CPPUNIT_TEST(returningDataCentreCountsAsCold);
    CPPUNIT_TEST(transientRefusalsAreTheOnesThatMayEnd);
    CPPUNIT_TEST_SUITE_END();

    RouteTable m_routes;
    OutageView m_outages;
    FlowAdmission m_admission;

public:
    void setUp() override
    {
        m_routes = routesTo("board", 7);
        m_outages = { .revision = 3, .out = {} };
        m_admission = {};
        applyReport(m_admission, m_routes, reportOf(1000, 1), 0);
    }

private:
    OpeningRefusal decide(Millis now, ConfigVersion balancerVersion = 7, std::uint32_t atWork = 0, std::string_view service = {})
    {
        return decideOpening(m_admission, m_routes, m_outages, { .address = flowOf(1).service, .service = service, .balancerVersion = balancerVersion, .atWork = atWork }, now);
    }

    void admitsWithACompleteView()
    {
        CPPUNIT_ASSERT(decide(10) == OpeningRefusal::None);
        CPPUNIT_ASSERT(decide(10, 7, 9) == OpeningRefusal::None);
        CPPUNIT_ASSERT(decide(10, 7, 10) == OpeningRefusal::Busy);
        const OpeningRequest request { .address = flowOf(1).service, .balancerVersion = 7, .atWork = 5, .needsFreeSlot = true };
        CPPUNIT_ASSERT(decideOpening(m_admission, m_routes, m_outages, request, 10) == OpeningRefusal::Busy);
        m_admission.isLeaving = true;
        CPPUNIT_ASSERT(decide(10) == OpeningRefusal::AgentLeaving);
        m_admission = {};
        CPPUNIT_ASSERT(decide(10) == OpeningRefusal::NoUpstream);
    }

    void drainingTakesEffectWithTheReport()
    {
        UpstreamReport report = reportOf(1000, 2);
        report.isDraining = true;
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, report, 10) == ReportEffect::Changed);
        CPPUNIT_ASSERT(decide(10) == OpeningRefusal::UpstreamDraining);
    }

    // An upstream crashes without notice, and two seconds later its address belongs to another service. Openings must end
    // before that, or they would be served by the wrong service.
    void silentUpstreamGetsNothingBeforeItsAddressIsReused()
    {
        CPPUNIT_ASSERT(decide(1900) == OpeningRefusal::None);
        CPPUNIT_ASSERT(decide(1901) == OpeningRefusal::NoUpstream);
        CPPUNIT_ASSERT(!isServing(m_admission, 1901));
    }

    // An upstream ends without a notice while its last report is on its way. Guards against openings for a process that has
    // ended, and against an upstream that stays without openings although it is running.
    void lateReportOfAnEndedProcessIsStale()
    {
        recordUpstreamEnd(m_admission, 500);
        CPPUNIT_ASSERT(decide(500) == OpeningRefusal::NoUpstream && !isServing(m_admission, 500));
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, reportOf(1000, 2), 600) == ReportEffect::Stale);
        CPPUNIT_ASSERT(decide(600) == OpeningRefusal::NoUpstream);
        FlowAdmission replaced = m_admission;
        CPPUNIT_ASSERT(applyReport(replaced, m_routes, reportOf(2000, 1), 700) == ReportEffect::NewProcess && isServing(replaced, 700));
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, reportOf(1000, 8), 500 + m_admission.options.lateReportLimit) == ReportEffect::Changed);
        CPPUNIT_ASSERT(decide(3600) == OpeningRefusal::None);
    }

    // A report that was delayed by a partition arrives after its sender has crashed and a new process has reported for the
    // same address. It must not restore the old process's state and service.
    void lateReportOfAReplacedProcessIsStale()
    {
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, reportOf(2000, 1), 10) == ReportEffect::NewProcess);
        UpstreamReport late = reportOf(1000, 9);
        late.isDraining = true;
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, late, 20) == ReportEffect::Stale);
        CPPUNIT_ASSERT(decide(20) == OpeningRefusal::None);
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, reportOf(2000, 1), 30) == ReportEffect::Stale);
        CPPUNIT_ASSERT(!applyShutdownNotice(m_admission, "i-1000"));
        CPPUNIT_ASSERT(decide(30) == OpeningRefusal::None);
        CPPUNIT_ASSERT(applyShutdownNotice(m_admission, "i-2000"));
        CPPUNIT_ASSERT(decide(30) == OpeningRefusal::UpstreamDraining);
    }

    // Two processes started in the same millisecond. Guards against reports that replace each other in turns, and against a process
    // that stays ignored although it was the other one whose report was late.
    void lateReportWithTheSameStartIsStale()
    {
        UpstreamReport second = reportOf(1000, 1);
        second.id = "i-second";
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, second, 10) == ReportEffect::NewProcess);
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, reportOf(1000, 2), 20) == ReportEffect::Stale);
        CPPUNIT_ASSERT_EQUAL(std::string("i-second"), m_admission.upstream->id);
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, reportOf(1000, 9), 10 + m_admission.options.lateReportLimit) == ReportEffect::NewProcess);
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, second, 20 + m_admission.options.lateReportLimit) == ReportEffect::Stale);
    }

    // Guards against flows that are given up for a report of another service although the address cannot have been reused yet.
    void otherServiceIsNotBelievedWhileTheProcessRuns()
    {
        UpstreamReport other = reportOf(2000, 1);
        other.service = "intake";
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, other, 1900) == ReportEffect::Contradicting);
        CPPUNIT_ASSERT_EQUAL(std::string("board"), m_admission.upstream->service);
        recordUpstreamEnd(m_admission, 1900);
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, other, 1900) == ReportEffect::Contradicting);
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, other, 1901) == ReportEffect::NewProcess);
    }

    // Guards against openings for either of two services that report from one address, and against an upstream whose reports are
    // ignored for as long as something seems to show that its predecessor runs.
    void contradictionLastsUntilTheNextReport()
    {
        UpstreamReport other = reportOf(2000, 1);
        other.service = "intake";
        m_admission.evidence.isConnected = true;
        FlowAdmission late = m_admission;
        for (const Millis now : { Millis { 100 }, Millis { 1900 } }) {
            CPPUNIT_ASSERT(applyReport(m_admission, m_routes, other, now) == ReportEffect::Contradicting);
            CPPUNIT_ASSERT(decide(now) == OpeningRefusal::NoUpstream && !isServing(m_admission, now));
            ++other.sequence;
        }
        recordStillConnected(m_admission.evidence, 1901);
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, other, 1901) == ReportEffect::NewProcess);
        CPPUNIT_ASSERT(!m_admission.evidence.isConnected);
        CPPUNIT_ASSERT(decide(1901) == OpeningRefusal::WrongService && isServing(m_admission, 1901));
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, reportOf(1000, 2), 2000) == ReportEffect::Stale && isServing(m_admission, 2000));

        applyReport(late, m_routes, other, 100);
        CPPUNIT_ASSERT(applyReport(late, m_routes, reportOf(1000, 2), 200) == ReportEffect::Nothing);
        CPPUNIT_ASSERT(isServing(late, 200));
        CPPUNIT_ASSERT_EQUAL(std::string("board"), late.upstream->service);
    }

    // Guards against an opening that passes for a copy and reaches the next upstream at the address.
    void copyNeedsTheSameEvidenceAsTheFirstPacket()
    {
        const auto decideAt = [this](Millis now, std::string_view service) { return decideCopy(m_admission, m_routes, { .address = flowOf(1).service, .service = service, .balancerVersion = 7 }, now); };
        m_admission.upstream->isDraining = true;
        CPPUNIT_ASSERT(decideAt(1900, "board") == OpeningRefusal::None && decideAt(1900, "") == OpeningRefusal::None);
        CPPUNIT_ASSERT(decideAt(1900, "intake") == OpeningRefusal::WrongService);
        CPPUNIT_ASSERT(decideAt(1901, "board") == OpeningRefusal::NoUpstream);
        recordStillConnected(m_admission.evidence, 1901);
        CPPUNIT_ASSERT(decideAt(1901, "board") == OpeningRefusal::NoUpstream);
        applyRoutes(m_routes, routesTo("intake", 9));
        CPPUNIT_ASSERT(decideAt(1900, "") == OpeningRefusal::WrongService);
    }

    void dataCentreOutHoldsUntilItIsBack()
    {
        CPPUNIT_ASSERT(applyOutages(m_outages, { .revision = 5, .out = { "north" } }));
        CPPUNIT_ASSERT(decide(10) == OpeningRefusal::DataCentreOut);
        // An outdated update from a peer that does not have revision 5 yet.
        CPPUNIT_ASSERT(!applyOutages(m_outages, { .revision = 4, .out = {} }));
        CPPUNIT_ASSERT(decide(10) == OpeningRefusal::DataCentreOut);
        CPPUNIT_ASSERT(applyOutages(m_outages, { .revision = 6, .out = {} }));
        CPPUNIT_ASSERT(decide(10) == OpeningRefusal::None);
    }

    // A route moves to another service, and balancer and agent learn of it at different times. The newer configuration of
    // the two decides, or a caller would see the new configuration and then the old one again.
    void newerConfigurationDecides()
    {
        CPPUNIT_ASSERT(applyRoutes(m_routes, routesTo("intake", 9)));
        CPPUNIT_ASSERT(decide(10, 7) == OpeningRefusal::WrongService);
        CPPUNIT_ASSERT(decide(10, 9) == OpeningRefusal::WrongService);
        CPPUNIT_ASSERT(decide(10, 9, 0, "board") == OpeningRefusal::WrongService);
        CPPUNIT_ASSERT(decide(10, 11, 0, "board") == OpeningRefusal::None);
        CPPUNIT_ASSERT(decide(10, 11) == OpeningRefusal::ViewInDoubt);
        CPPUNIT_ASSERT(!applyRoutes(m_routes, routesTo("board", 8)));
    }

    // Guards against openings for another service, whichever configuration is newer.
    void openingForAnotherServiceIsRefused()
    {
        for (const ConfigVersion version : { 1U, 7U, 11U }) {
            CPPUNIT_ASSERT(decide(10, version, 0, "board") == OpeningRefusal::None);
            CPPUNIT_ASSERT(decide(10, version, 0, "intake") == OpeningRefusal::WrongService);
        }
        applyRoutes(m_routes, routesTo("intake", 9));
        CPPUNIT_ASSERT(decide(10, 11, 0, "intake") == OpeningRefusal::WrongService);
    }

    void nothingIsAdmittedWithoutACurrentView()
    {
        m_admission.mayViewBeStale = true;
        CPPUNIT_ASSERT(decide(10) == OpeningRefusal::ViewInDoubt);
        m_admission.mayViewBeStale = false;
        m_outages = {};
        CPPUNIT_ASSERT(decide(10) == OpeningRefusal::NoConfiguration);
    }

    // A cold upstream is offered far more than its rate for three seconds. In no interval of one second may more openings
    // be admitted than the rate allows.
    void coldRateHoldsInEverySecond()
    {
        constexpr Millis second = 1000;
        m_routes.services.front().coldRate = 4;
        std::vector<Millis> admitted;
        for (Millis now = 0; now < 3 * second; now += 7) {
            UpstreamReport report = reportOf(1000, static_cast<std::uint64_t>(now) + 2);
            report.coldLeft = second;
            applyReport(m_admission, m_routes, report, now);
            if (decide(now) == OpeningRefusal::None)
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
        applyReport(m_admission, m_routes, report, 0);
        for (int opening = 0; opening < 100; ++opening)
            CPPUNIT_ASSERT(decide(10, 7, 5) == OpeningRefusal::None);
        CPPUNIT_ASSERT(decide(10, 7, 10) == OpeningRefusal::Busy);
    }

    void returningDataCentreCountsAsCold()
    {
        m_routes.services.front().coldRate = 2;
        assumeCold(m_admission, m_routes, 100);
        CPPUNIT_ASSERT(decide(101) == OpeningRefusal::None);
        CPPUNIT_ASSERT(decide(102) == OpeningRefusal::None);
        CPPUNIT_ASSERT(decide(103) == OpeningRefusal::Cold);
        applyReport(m_admission, m_routes, reportOf(1000, 2), 200);
        CPPUNIT_ASSERT(decide(201) == OpeningRefusal::None);
    }

    void transientRefusalsAreTheOnesThatMayEnd()
    {
        for (const OpeningRefusal reason : { OpeningRefusal::NoUpstream, OpeningRefusal::ViewInDoubt, OpeningRefusal::NoConfiguration, OpeningRefusal::Cold, OpeningRefusal::Busy })
            CPPUNIT_ASSERT(isTransient(reason));
        for (const OpeningRefusal reason : { OpeningRefusal::UpstreamDraining, OpeningRefusal::AgentLeaving, OpeningRefusal::DataCentreOut, OpeningRefusal::WrongService, OpeningRefusal::FlowLimit, OpeningRefusal::Returned, OpeningRefusal::WaitedTooLong })
            CPPUNIT_ASSERT(!isTransient(reason));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFlowAdmission);
