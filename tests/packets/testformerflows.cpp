#include "libdecision/formerflows.h"
#include "packetfixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestFormerFlows : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestFormerFlows);
    CPPUNIT_TEST(hostWithoutUpstreamSaysNo);
    CPPUNIT_TEST(upstreamThatListensMayHoldFlows);
    CPPUNIT_TEST(silenceOfARunningProcessCounts);
    CPPUNIT_TEST(secondReportOfANewUpstreamIsEnough);
    CPPUNIT_TEST(livingUpstreamMayHoldFlows);
    CPPUNIT_TEST(upstreamThatLeavesHoldsNothing);
    CPPUNIT_TEST(reportOfALivingUpstreamTakesTheNoBack);
    CPPUNIT_TEST(agentThatIsStoppedMayStillLearnThatNobodyIsThere);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t startedAt = 1790000000000;

    static FormerFlows former()
    {
        return { .startedAtWall = startedAt };
    }

    static void listen(FormerFlows& state, Millis from, Millis until)
    {
        for (Millis now = from; now <= until; now += 100)
            noteListening(state, now);
    }

    // All hosts lose power, one of them while its upstream was being stopped, so its agent starts without an upstream.
    // Guards against an agent that cannot deny flows for 20 s, during which no caller learns that its flow is lost. Two
    // refused connections show that there is no upstream.
    void hostWithoutUpstreamSaysNo()
    {
        FormerFlows state = former();
        listen(state, 1000, 1100);
        CPPUNIT_ASSERT(!shouldConnect(state));
        listen(state, 1200, 1200);
        CPPUNIT_ASSERT(shouldConnect(state));
        noteConnection(state, ConnectionOutcome::Refused, 1200);
        CPPUNIT_ASSERT(!noteListening(state, 1210));
        noteConnection(state, ConnectionOutcome::Refused, 1250);
        CPPUNIT_ASSERT(!noteListening(state, 1260));
        noteConnection(state, ConnectionOutcome::Refused, 1300);
        CPPUNIT_ASSERT(!knowsEveryFlow(state));
        CPPUNIT_ASSERT(noteListening(state, 1310));
        CPPUNIT_ASSERT(knowsEveryFlow(state) && !shouldConnect(state));
        CPPUNIT_ASSERT(!noteListening(state, 1410));
    }

    // An agent is restarted beside a running upstream whose next heartbeat is due later. The upstream accepts a connection,
    // so its flows must not count as lost.
    void upstreamThatListensMayHoldFlows()
    {
        for (const ConnectionOutcome outcome : { ConnectionOutcome::Accepted, ConnectionOutcome::Unclear }) {
            FormerFlows state = former();
            listen(state, 1000, 1300);
            noteConnection(state, ConnectionOutcome::Refused, 1200);
            noteConnection(state, outcome, 1300);
            noteConnection(state, ConnectionOutcome::Refused, 1400);
            CPPUNIT_ASSERT(!noteListening(state, 1400));
            CPPUNIT_ASSERT(!knowsEveryFlow(state) && !shouldConnect(state));
        }
    }

    // An agent's host is suspended right after the agent's start and resumes five seconds later with unread reports in the
    // agent's socket. The time of the pause must not count as silence of the upstream.
    void silenceOfARunningProcessCounts()
    {
        FormerFlows state = former();
        listen(state, 1000, 1200);
        CPPUNIT_ASSERT(!noteListening(state, 6400));
        listen(state, 6500, 9900);
        CPPUNIT_ASSERT(!knowsEveryFlow(state));
        CPPUNIT_ASSERT(noteListening(state, 10000));
    }

    // Upstream and agent start together, and the upstream's first report is sent before the agent listens. The second one
    // arrives 40 ms after the upstream's start, so no earlier agent process can have opened a flow to it.
    void secondReportOfANewUpstreamIsEnough()
    {
        for (const UpstreamReport& report : { reportOf(startedAt - 20, 2), reportOf(startedAt + 900, 3), reportOf(startedAt - 90000, 1) }) {
            FormerFlows state = former();
            takeSignOfLife(state, report, false);
            CPPUNIT_ASSERT(knowsEveryFlow(state));
        }
    }

    // Only the agent was restarted. Its upstream started long before, or has sent more reports than a new one can have:
    // when the clock was set back between both starts, the start time alone makes it look new.
    void livingUpstreamMayHoldFlows()
    {
        for (const UpstreamReport& report : { reportOf(startedAt - 800, 2), reportOf(startedAt + 2000, 9) }) {
            FormerFlows state = former();
            takeSignOfLife(state, report, false);
            listen(state, 1000, 2900);
            CPPUNIT_ASSERT(!knowsEveryFlow(state));
            takeSignOfLife(state, reportOf(report.born, 10), false);
            CPPUNIT_ASSERT(!knowsEveryFlow(state));
        }
    }

    // All processes are killed while upstreams shut down. A restarted agent receives one report and then the shutdown
    // notice, or nothing more. Guards against an agent that stays unsure for 20 s in that case.
    void upstreamThatLeavesHoldsNothing()
    {
        FormerFlows state = former();
        takeSignOfLife(state, reportOf(startedAt - 80000, 70), false);
        takeEnd(state);
        CPPUNIT_ASSERT(knowsEveryFlow(state));
        state = former();
        takeSignOfLife(state, reportOf(startedAt - 80000, 70), false);
        listen(state, 1000, 3000);
        CPPUNIT_ASSERT(shouldConnect(state) && !knowsEveryFlow(state));
        noteConnection(state, ConnectionOutcome::Refused, 3000);
        noteConnection(state, ConnectionOutcome::Refused, 3100);
        CPPUNIT_ASSERT(noteListening(state, 3100) && knowsEveryFlow(state));
    }

    // An upstream was so slow that its agent considered it gone. When it reports again, it may still hold its flows.
    void reportOfALivingUpstreamTakesTheNoBack()
    {
        FormerFlows state = former();
        takeSignOfLife(state, reportOf(startedAt - 80000, 70), false);
        listen(state, 1000, 5000);
        CPPUNIT_ASSERT(knowsEveryFlow(state));
        takeSignOfLife(state, reportOf(startedAt - 80000, 71), false);
        CPPUNIT_ASSERT(!knowsEveryFlow(state));
        takeSignOfLife(state, reportOf(startedAt + 8000, 1), true);
        CPPUNIT_ASSERT(knowsEveryFlow(state));
    }

    // Guards against an agent that is stopped right after its start, beside no upstream, and leaves its directory entry
    // behind.
    void agentThatIsStoppedMayStillLearnThatNobodyIsThere()
    {
        FormerFlows former;
        CPPUNIT_ASSERT(mayTurnOutGone(former));
        noteConnection(former, ConnectionOutcome::Refused, 200);
        noteConnection(former, ConnectionOutcome::Refused, 300);
        CPPUNIT_ASSERT(noteListening(former, 301));
        CPPUNIT_ASSERT(!mayTurnOutGone(former));
        FormerFlows served;
        takeSignOfLife(served, reportOf(5, 9), false);
        CPPUNIT_ASSERT(!mayTurnOutGone(served));
        FormerFlows hung;
        noteConnection(hung, ConnectionOutcome::Unclear, 200);
        CPPUNIT_ASSERT(!mayTurnOutGone(hung));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFormerFlows);
