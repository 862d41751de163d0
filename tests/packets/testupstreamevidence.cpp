#include "libdecision/untrackedflows.h"
#include "libdecision/upstreamreports.h"
#include "packetfixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

/// An upstream that reports each 3 s at an address that may be reused after 2 s.
class TestUpstreamEvidence : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestUpstreamEvidence);
    CPPUNIT_TEST(restingUpstreamStaysInService);
    CPPUNIT_TEST(workingUpstreamNeedsNoConnection);
    CPPUNIT_TEST(frequentReportsNeedNoConnection);
    CPPUNIT_TEST(reusedAddressGetsNothing);
    CPPUNIT_TEST(lateAcceptanceIsNoEvidence);
    CPPUNIT_TEST(endedConnectionFindsTheEnd);
    CPPUNIT_TEST(delayedReportOfTheOldProcessIsStale);
    CPPUNIT_TEST(frozenUpstreamLeavesService);
    CPPUNIT_TEST(lostReportsDoNotEndService);
    CPPUNIT_TEST(pausedAgentTrustsOnlyAnOpenConnection);
    CPPUNIT_TEST(onlyPacketsOfAcceptedFlowsAreEvidence);
    CPPUNIT_TEST(reportIsAsOldAsTheGapBeforeItsReading);
    CPPUNIT_TEST(reuseTimeMayBeTooShort);
    CPPUNIT_TEST(upstreamIsNotGoneBetweenReports);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Millis reuse = 2000;
    static constexpr Millis interval = 3000;
    static constexpr Millis step = 100;

    RouteTable m_routes;
    OutageView m_outages;
    FlowAdmission m_admission;
    std::uint64_t m_sequence = 0;
    unsigned m_connections = 0;

public:
    void setUp() override
    {
        m_routes = routesTo("board", 7);
        m_outages = { .revision = 3, .out = {} };
        m_admission = {};
        m_admission.evidence.options = evidenceOptions(reuse, interval);
        m_sequence = 0;
        m_connections = 0;
    }

private:
    ReportEffect report(Millis now)
    {
        return applyReport(m_admission, m_routes, reportOf(1000, ++m_sequence), now);
    }

    bool admits(Millis now)
    {
        return decideOpening(m_admission, m_routes, m_outages, { .address = flowOf(1).service, .balancerVersion = 7 }, now) == OpeningRefusal::None;
    }

    /// One of the agent's regular checks, while the upstream's host accepts connections or refuses them. An open connection
    /// ends where connections are refused.
    void check(Millis now, bool isListening)
    {
        UpstreamEvidence& evidence = m_admission.evidence;
        if (evidence.isConnected && isListening)
            recordStillConnected(evidence, now);
        else if (evidence.isConnected)
            recordDisconnected(evidence);
        if (!takesFlows(m_admission) || !shouldConnect(evidence, now))
            return;
        ++m_connections;
        recordConnecting(evidence, now);
        if (recordConnectOutcome(evidence, isListening ? ConnectionOutcome::Accepted : ConnectionOutcome::Refused, now))
            recordUpstreamEnd(m_admission, now);
    }

    // Guards against an upstream that leaves service between two reports: each change of its state is announced to the whole
    // fleet.
    void restingUpstreamStaysInService()
    {
        for (Millis now = 0; now <= 60000; now += step) {
            if (now % interval == 0)
                report(now);
            check(now, true);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(now), isServing(m_admission, now) && admits(now));
        }
        CPPUNIT_ASSERT_EQUAL(1U, m_connections);
    }

    // Guards against a connection for each report of an upstream that sends packets all the time.
    void workingUpstreamNeedsNoConnection()
    {
        for (Millis now = 0; now <= 30000; now += step) {
            if (now % interval == 0)
                report(now);
            if (now % 500 == 0)
                recordHeard(m_admission.evidence, now);
            check(now, true);
            CPPUNIT_ASSERT(admits(now));
        }
        CPPUNIT_ASSERT_EQUAL(0U, m_connections);
    }

    // Guards against connections that cost an upstream work although its reports are frequent enough.
    void frequentReportsNeedNoConnection()
    {
        m_admission.evidence.options = evidenceOptions(reuse, 1200);
        for (Millis now = 0; now <= 30000; now += step) {
            if (now % 1200 == 0)
                report(now);
            check(now, true);
        }
        CPPUNIT_ASSERT_EQUAL(0U, m_connections);
    }

    // An upstream ends without a notice between two reports, at any time after one, and an upstream of another service listens
    // at its address 2 s later. Guards against openings that reach the other service.
    void reusedAddressGetsNothing()
    {
        for (Millis endsAt = 50; endsAt < 9000; endsAt += 370) {
            setUp();
            for (Millis now = 0; now <= 15000; now += step) {
                const bool isRunning = now <= endsAt;
                if (isRunning && now % interval == 0)
                    report(now);
                const bool isReused = now >= endsAt + reuse;
                check(now, isRunning || isReused);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(endsAt), !isReused || !admits(now));
            }
        }
    }

    // The upstream's host leaves an attempt unanswered until the address has been reused. Guards against taking the process
    // that accepts then for the one that reported.
    void lateAcceptanceIsNoEvidence()
    {
        report(0);
        recordConnecting(m_admission.evidence, 1700);
        CPPUNIT_ASSERT(!recordConnectOutcome(m_admission.evidence, ConnectionOutcome::Accepted, 2001));
        CPPUNIT_ASSERT(!m_admission.evidence.isConnected && !admits(2001) && !shouldConnect(m_admission.evidence, 2001));
    }

    // Guards against openings for an upstream whose end its host has already shown.
    void endedConnectionFindsTheEnd()
    {
        report(0);
        for (Millis now = 0; now <= 2500; now += step)
            check(now, true);
        CPPUNIT_ASSERT(m_admission.evidence.isConnected && admits(2500));
        for (Millis now = 2600; now <= 2800; now += step)
            check(now, false);
        CPPUNIT_ASSERT(m_admission.endedAt && !admits(2800));
    }

    // Guards against a report that was under way when its sender ended, and that would prolong the evidence for the address.
    void delayedReportOfTheOldProcessIsStale()
    {
        report(0);
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, reportOf(2000, 1), 2500) == ReportEffect::NewProcess);
        CPPUNIT_ASSERT(applyReport(m_admission, m_routes, reportOf(1000, 2), 4000) == ReportEffect::Stale);
        CPPUNIT_ASSERT(admits(4400) && !admits(4401));
    }

    // Guards against openings for an upstream that is frozen: its connection stays open, but it sends nothing.
    void frozenUpstreamLeavesService()
    {
        report(0);
        for (Millis now = 0; now <= 4500; now += step)
            check(now, true);
        CPPUNIT_ASSERT(admits(4500) && !admits(4501));
        check(60000, true);
        CPPUNIT_ASSERT(!admits(60000) && isRunning(m_admission, 60000) && m_connections == 1);
    }

    // Reports do not arrive for ten seconds while the upstream answers its callers. Guards against a working upstream that
    // leaves service.
    void lostReportsDoNotEndService()
    {
        report(0);
        for (Millis now = 0; now <= 10000; now += step) {
            if (now % 1500 == 0)
                recordHeard(m_admission.evidence, now);
            check(now, true);
            CPPUNIT_ASSERT(admits(now));
        }
    }

    // The agent is paused for 5 s. Guards against an opening that it handles before it has checked what happened meanwhile.
    void pausedAgentTrustsOnlyAnOpenConnection()
    {
        report(0);
        for (Millis now = 0; now <= 2000; now += step)
            check(now, true);
        FlowAdmission reused = m_admission;
        CPPUNIT_ASSERT(!admits(7000));
        recordStillConnected(m_admission.evidence, 7000);
        CPPUNIT_ASSERT(isRunning(m_admission, 7000));
        recordDisconnected(reused.evidence);
        CPPUNIT_ASSERT(!isRunning(reused, 7000) && !shouldConnect(reused.evidence, 7000));
    }

    // Guards against evidence from another process: any process may answer an opening or reset an unknown flow.
    void onlyPacketsOfAcceptedFlowsAreEvidence()
    {
        AgentFlows flows;
        beginFlow(flows, flowOf(1), 0);
        CPPUNIT_ASSERT(!showsSameProcess(flows, flowOf(1), upstreamAnswer(500)));
        CPPUNIT_ASSERT(!showsSameProcess(flows, flowOf(2), upstreamData(100)));
        openFlow(flows, flowOf(3), 0);
        CPPUNIT_ASSERT(showsSameProcess(flows, flowOf(3), upstreamData(100)));
        PacketHeader reset = upstreamData(0);
        reset.flags.resets = true;
        CPPUNIT_ASSERT(!showsSameProcess(flows, flowOf(3), reset));
    }

    // Guards against settings under which an upstream could not stay in service.
    void reuseTimeMayBeTooShort()
    {
        CPPUNIT_ASSERT(canBridgeReports(2000, 770) && canBridgeReports(2000, 3000) && canBridgeReports(1000, 60000));
        CPPUNIT_ASSERT(canBridgeReports(999, 590) && !canBridgeReports(999, 600) && !canBridgeReports(200, 100));
    }

    // Guards against an agent that denies the flows of a running upstream because its reports are far apart.
    void upstreamIsNotGoneBetweenReports()
    {
        UntrackedFlows untracked { .options = untrackedFlowsOptions(interval) };
        for (Millis now = 0; now < 2 * interval; now += step)
            CPPUNIT_ASSERT(!recordListening(untracked, now));
        recordReport(untracked, reportOf(1000, 90), false);
        for (Millis now = 2 * interval; now < 3 * interval; now += step) {
            recordListening(untracked, now);
            CPPUNIT_ASSERT(!shouldConnect(untracked));
        }
    }

    // Guards against a report that waited while the agent was paused or behind and then passes for a new one.
    void reportIsAsOldAsTheGapBeforeItsReading()
    {
        UpstreamEvidence& evidence = m_admission.evidence;
        recordCheck(evidence, 900);
        recordCheck(evidence, 1000);
        report(1050);
        CPPUNIT_ASSERT(isSameProcess(evidence, 2900) && !isSameProcess(evidence, 2901));
        report(2800);
        CPPUNIT_ASSERT(!isSameProcess(evidence, 2901));
        recordCheck(evidence, 2950);
        report(2960);
        CPPUNIT_ASSERT(!isSameProcess(evidence, 2960));
        recordCheck(evidence, 3050);
        report(3060);
        CPPUNIT_ASSERT(isSameProcess(evidence, 4950));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestUpstreamEvidence);
