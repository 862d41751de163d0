#include "libdecision/untrackedflows.h"
#include "libdecision/upstreamreports.h"
#include "packetfixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

/// Reports of other programs reach an agent beside those of its upstream, which reports each 770 ms.
class TestForeignReports : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestForeignReports);
    CPPUNIT_TEST(otherServiceDoesNotReplaceWhatPacketsShow);
    CPPUNIT_TEST(otherServiceDoesNotReplaceAnIdleUpstream);
    CPPUNIT_TEST(slowReporterIsNotReplacedBetweenItsReports);
    CPPUNIT_TEST(laterStartDoesNotLockOutTheUpstream);
    CPPUNIT_TEST(manyIdsDoNotLockOutTheUpstream);
    CPPUNIT_TEST(packetOfAnOldFlowRestoresItsProcess);
    CPPUNIT_TEST(lateReportsInARowRestoreNothing);
    CPPUNIT_TEST(lateReportsDoNotReplaceAPausedUpstream);
    CPPUNIT_TEST(packetThatMayBeOlderThanTheReportRestoresNothing);
    CPPUNIT_TEST(reusedPortsDoNotPassForAnOldFlow);
    CPPUNIT_TEST(sequenceAtItsLimitDoesNotLockOutTheUpstream);
    CPPUNIT_TEST(ownIdDoesNotMoveTheUpstream);
    CPPUNIT_TEST(unnamedServiceGivesWay);
    CPPUNIT_TEST(lateReportDoesNotReplaceAServiceThatIsNamedLater);
    CPPUNIT_TEST(coldUpstreamStaysCold);
    CPPUNIT_TEST(restartIsTakenAtOnce);
    CPPUNIT_TEST(reusedAddressIsTakenAtOnce);
    CPPUNIT_TEST(restartAfterAFalseReportIsTaken);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Millis step = 10;
    static constexpr Millis interval = 770;
    static constexpr std::uint64_t farFuture = 253402300799999;
    static constexpr std::uint64_t maxSequence = (std::uint64_t { 1 } << 53) - 1;

    RouteTable m_routes;
    OutageView m_outages;
    FlowAdmission m_admission;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_foreignSequence = 0;

public:
    void setUp() override
    {
        m_routes = routesTo("board", 7);
        m_outages = { .revision = 3, .out = {} };
        m_admission = {};
        m_admission.evidence.options = evidenceOptions(2000, interval);
        m_sequence = 0;
        m_foreignSequence = 0;
    }

private:
    ReportEffect report(Millis now) { return applyReport(m_admission, m_routes, reportOf(1000, ++m_sequence), now); }

    UpstreamReport foreign(const std::string& service, std::uint64_t born)
    {
        UpstreamReport report = reportOf(born, ++m_foreignSequence);
        report.id = "cellar-1";
        report.service = service;
        return report;
    }

    bool admits(Millis now)
    {
        return decideOpening(m_admission, m_routes, m_outages, { .address = flowOf(1).service, .service = "board", .balancerVersion = 7 }, now) == OpeningRefusal::None;
    }

    /// Lets the upstream report and the agent check for a time. `send` is called in each step.
    template <typename Send>
    void run(Millis from, Millis until, Send send)
    {
        for (Millis now = from; now < until; now += step) {
            if (now % 100 == 0)
                recordCheck(m_admission.evidence, now);
            if (now % interval == 0)
                report(now);
            send(now);
        }
    }

    // Guards against reports of another service that are believed, or stop openings, while packets show that the upstream runs.
    void otherServiceDoesNotReplaceWhatPacketsShow()
    {
        for (const std::string service : { "ledger", "intake" }) {
            for (const Millis gap : { 10, 300, 770, 2000, 5000 }) {
                setUp();
                m_routes.services.push_back({ .name = "intake" });
                run(0, 20000, [&](Millis now) {
                    if (now % 400 == 0)
                        recordFlowEvidence(m_admission.evidence, now);
                    if (now > 0 && now % gap == 0)
                        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, foreign(service, 2000), now) == ReportEffect::Contradicting);
                    CPPUNIT_ASSERT(m_admission.upstream->service == "board" && admits(now));
                });
            }
        }
    }

    // Guards against an idle upstream that is replaced, or kept out of service, by a series of reports of another service.
    void otherServiceDoesNotReplaceAnIdleUpstream()
    {
        for (const Millis gap : { 10, 300, 770, 2000 }) {
            setUp();
            run(0, 20000, [&](Millis now) {
                if (now > 0 && now % gap == 0)
                    applyReport(m_admission, m_routes, foreign("ledger", 2000), now);
                CPPUNIT_ASSERT(m_admission.upstream->service == "board");
                CPPUNIT_ASSERT(now < m_admission.options.lateReportLimit + gap + interval || admits(now));
            });
        }
    }

    // Guards against an upstream with an idle connection that is replaced between two of its reports.
    void slowReporterIsNotReplacedBetweenItsReports()
    {
        m_admission.evidence.options = evidenceOptions(2000, 3000);
        for (Millis now = 0; now < 30000; now += step) {
            if (now % 3000 == 0)
                report(now);
            recordStillConnected(m_admission.evidence, now);
            if (now > 0 && now % 100 == 0)
                CPPUNIT_ASSERT(applyReport(m_admission, m_routes, foreign("ledger", 2000), now) == ReportEffect::Contradicting);
        }
    }

    // Guards against an upstream whose reports stay ignored because another program gave a later start.
    void laterStartDoesNotLockOutTheUpstream()
    {
        for (const Millis gap : { 100, 770, 100000 }) {
            setUp();
            run(0, 20000, [&](Millis now) {
                if (now >= 1000 && (now - 1000) % gap == 0) {
                    UpstreamReport report = foreign("board", farFuture);
                    report.isDraining = true;
                    applyReport(m_admission, m_routes, report, now);
                }
                CPPUNIT_ASSERT_MESSAGE(std::to_string(now), now < 5000 || (m_admission.upstream->born == 1000 && admits(now)));
            });
        }
    }

    // Guards against an upstream that is forgotten because each report comes from another id.
    void manyIdsDoNotLockOutTheUpstream()
    {
        run(0, 20000, [&](Millis now) {
            if (now >= 1000 && now % 100 == 0) {
                UpstreamReport report = reportOf(static_cast<std::uint64_t>(5000 + now), 1);
                report.isDraining = true;
                applyReport(m_admission, m_routes, report, now);
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(now), now < 5000 || (m_admission.upstream->born == 1000 && admits(now)));
        });
    }

    // Guards against a draining state of another program that holds until the upstream's reports outweigh it, although packets show at
    // once that the upstream still runs.
    void packetOfAnOldFlowRestoresItsProcess()
    {
        run(0, 6000, [](Millis) {});
        UpstreamReport other = foreign("board", farFuture);
        other.isDraining = true;
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, other, 6000) == ReportEffect::NewProcess && !admits(6000));
        recordCheck(m_admission.evidence, 6010);
        CPPUNIT_ASSERT(!applyFlowPacket(m_admission, 4000, 6020));
        CPPUNIT_ASSERT(applyFlowPacket(m_admission, 100, 6020) && admits(6020));
        other.sequence = 9;
        CPPUNIT_ASSERT(isIgnored(applyReport(m_admission, m_routes, other, 6030)) && admits(6030));
        CPPUNIT_ASSERT(report(6040) == ReportEffect::Nothing);
    }

    // Guards against a process that has ended and comes back in place of the running one, because several of its reports were delayed.
    void lateReportsInARowRestoreNothing()
    {
        for (const Millis gap : { 0, 120, 1500, 2500 }) {
            setUp();
            run(0, 6000, [](Millis) {});
            std::uint64_t sequence = 0;
            for (Millis now = 6000; now < 20000; now += step) {
                if (now % 100 == 0)
                    recordCheck(m_admission.evidence, now);
                if ((now - 6000) % interval == 0)
                    CPPUNIT_ASSERT(!isIgnored(applyReport(m_admission, m_routes, reportOf(2000, ++sequence), now)));
                const bool isLate = now == 11000 || now == 11000 + gap || now == 11000 + 2 * gap;
                for (int copies = gap == 0 ? 3 : 1; isLate && copies > 0; --copies)
                    CPPUNIT_ASSERT(isIgnored(report(now)));
                CPPUNIT_ASSERT(m_admission.upstream->born == 2000 && admits(now));
            }
        }
    }

    // Guards against the same while the running upstream is paused and does not report.
    void lateReportsDoNotReplaceAPausedUpstream()
    {
        run(0, 6000, [](Millis) {});
        UpstreamReport draining = reportOf(2000, 1);
        draining.isDraining = true;
        applyReport(m_admission, m_routes, draining, 6000);
        for (const Millis now : { 11000, 11010, 11400 })
            CPPUNIT_ASSERT(isIgnored(report(now)));
        CPPUNIT_ASSERT(m_admission.upstream->born == 2000 && m_admission.upstream->isDraining);
    }

    // Guards against a packet of a process that has ended, read after the first report of the next one, that brings the former back.
    void packetThatMayBeOlderThanTheReportRestoresNothing()
    {
        run(0, 6000, [](Millis) {});
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, reportOf(2000, 1), 6050) == ReportEffect::NewProcess);
        CPPUNIT_ASSERT(!applyFlowPacket(m_admission, 100, 6060));
        recordCheck(m_admission.evidence, 6300);
        CPPUNIT_ASSERT(!applyFlowPacket(m_admission, 100, 6310));
        CPPUNIT_ASSERT(m_admission.upstream->born == 2000);
    }

    // Guards against a new process that is taken for its predecessor because a caller opens a flow there from ports that it used before.
    void reusedPortsDoNotPassForAnOldFlow()
    {
        AgentFlows flows;
        openFlow(flows, flowOf(1), 100);
        trackUpstreamPacket(flows, flowOf(1), upstreamAnswer(500), 200);
        CPPUNIT_ASSERT_EQUAL(Millis { 100 }, flows.flows.at(flowOf(1)).openedAt);
        trackUpstreamPacket(flows, flowOf(1), upstreamAnswer(900), 6100);
        CPPUNIT_ASSERT_EQUAL(Millis { 6100 }, flows.flows.at(flowOf(1)).openedAt);
    }

    // Guards against an upstream whose reports stay ignored because another program sent a higher sequence under its id.
    void sequenceAtItsLimitDoesNotLockOutTheUpstream()
    {
        run(0, 20000, [&](Millis now) {
            if (now == 1000) {
                UpstreamReport report = reportOf(1000, maxSequence);
                report.isDraining = true;
                applyReport(m_admission, m_routes, report, now);
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(now), now < 6000 || (m_admission.upstream->sequence < maxSequence && admits(now)));
        });
    }

    // Guards against reports under the upstream's own id and start that give it another service or data centre.
    void ownIdDoesNotMoveTheUpstream()
    {
        report(0);
        recordFlowEvidence(m_admission.evidence, 0);
        UpstreamReport moved = reportOf(1000, 2);
        moved.service = "ledger";
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, moved, 10) == ReportEffect::Contradicting);
        moved = reportOf(1000, 3);
        moved.dataCentre = "south";
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, moved, 20) == ReportEffect::Contradicting && admits(20));
        CPPUNIT_ASSERT(report(30) == ReportEffect::Nothing && admits(30));
        CPPUNIT_ASSERT(m_admission.upstream->service == "board" && m_admission.upstream->dataCentre == "north");
    }

    // Guards against an upstream that is ignored because a report of a service that nobody is routed to came first.
    void unnamedServiceGivesWay()
    {
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, foreign("ledger", 2000), 0) == ReportEffect::Changed);
        CPPUNIT_ASSERT(report(10) == ReportEffect::Stale);
        CPPUNIT_ASSERT(report(10 + interval) == ReportEffect::NewProcess && admits(10 + interval));
        setUp();
        applyReport(m_admission, m_routes, foreign("ledger", 500), 0);
        CPPUNIT_ASSERT(report(10) == ReportEffect::NewProcess && admits(10));
        setUp();
        applyReport(m_admission, m_routes, foreign("ledger", 2000), 0);
        m_routes.services.push_back({ .name = "ledger" });
        CPPUNIT_ASSERT(isServing(m_admission, 10) && report(10) != ReportEffect::NewProcess);
    }

    // Guards against openings for the former service of an address, which a report that a partition has delayed brings back beside an
    // upstream that no route leads to yet.
    void lateReportDoesNotReplaceAServiceThatIsNamedLater()
    {
        run(0, 6000, [](Millis) {});
        recordCheck(m_admission.evidence, 7900);
        recordCheck(m_admission.evidence, 8000);
        applyReport(m_admission, m_routes, foreign("ledger", 2000), 8000);
        const Millis late = 8000 + m_admission.options.lateReportLimit;
        for (Millis now = 8100; now <= late; now += 100)
            recordCheck(m_admission.evidence, now);
        applyReport(m_admission, m_routes, foreign("ledger", 2000), late);
        CPPUNIT_ASSERT(report(late) == ReportEffect::Stale && report(late + 10) == ReportEffect::Stale);
        CPPUNIT_ASSERT_EQUAL(std::string("ledger"), m_admission.upstream->service);
        CPPUNIT_ASSERT(!admits(late + 10));
    }

    // Guards against more requests than a cold upstream bears, after a report that says that it is warm.
    void coldUpstreamStaysCold()
    {
        UpstreamReport cold = reportOf(1000, 1);
        cold.coldLeft = 5000;
        applyReport(m_admission, m_routes, cold, 0);
        applyReport(m_admission, m_routes, foreign("board", farFuture), 10);
        CPPUNIT_ASSERT_EQUAL(Millis { 5000 }, m_admission.coldUntil);
    }

    // Guards against a restarted upstream that has to wait until its predecessor's evidence has expired.
    void restartIsTakenAtOnce()
    {
        run(0, 6000, [&](Millis now) { recordFlowEvidence(m_admission.evidence, now); });
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, reportOf(2000, 1), 6000) == ReportEffect::NewProcess && admits(6000));
        CPPUNIT_ASSERT(!confirmReplacement(m_admission, 6010) && confirmReplacement(m_admission, 20000) && !confirmReplacement(m_admission, 20000));
        recordUpstreamEnd(m_admission, 20000);
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, reportOf(3000, 1), 20010) == ReportEffect::NewProcess && !m_admission.displaced);
    }

    // Guards against an upstream at a reused address that has to report twice, or for as long as a configuration does not name it.
    void reusedAddressIsTakenAtOnce()
    {
        run(0, 6000, [&](Millis now) { recordFlowEvidence(m_admission.evidence, now); });
        recordCheck(m_admission.evidence, 7900);
        recordCheck(m_admission.evidence, 8000);
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, foreign("ledger", 2000), 8000) == ReportEffect::NewProcess);
        m_routes.services.push_back({ .name = "ledger" });
        CPPUNIT_ASSERT(isServing(m_admission, 8000));
    }

    // Guards against an upstream that is kept out for ever, or whose predecessor counts as running, after a false report.
    void restartAfterAFalseReportIsTaken()
    {
        run(0, 6000, [](Millis) {});
        applyReport(m_admission, m_routes, foreign("board", farFuture), 6000);
        recordCheck(m_admission.evidence, 6000);
        recordCheck(m_admission.evidence, 6100);
        CPPUNIT_ASSERT(applyFlowPacket(m_admission, 100, 6110));
        std::uint64_t sequence = 0;
        for (Millis now = 6200; now < 12000; now += step) {
            if (now % 100 == 0)
                recordCheck(m_admission.evidence, now);
            if (now % interval == 0)
                applyReport(m_admission, m_routes, reportOf(2000, ++sequence), now);
        }
        CPPUNIT_ASSERT(m_admission.upstream->born == 2000 && admits(11900));
        UpstreamReport next = reportOf(2500, 1);
        recordUpstreamEnd(m_admission, 12000);
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, next, 12010) == ReportEffect::NewProcess && admits(12010));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestForeignReports);
