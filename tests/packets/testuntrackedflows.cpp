#include "libdecision/untrackedflows.h"
#include "packetfixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestUntrackedFlows : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestUntrackedFlows);
    CPPUNIT_TEST(hostWithoutUpstreamDeniesFlows);
    CPPUNIT_TEST(upstreamThatListensMayHoldFlows);
    CPPUNIT_TEST(pauseDoesNotCountAsSilence);
    CPPUNIT_TEST(secondReportOfANewUpstreamIsEnough);
    CPPUNIT_TEST(runningUpstreamMayHoldFlows);
    CPPUNIT_TEST(upstreamThatShutsDownHoldsNothing);
    CPPUNIT_TEST(laterReportOverridesGone);
    CPPUNIT_TEST(refusalsMayShowAMissingUpstream);
    CPPUNIT_TEST(drainingUpstreamMayRefuseConnections);
    CPPUNIT_TEST(packetOfAFlowShowsARunningUpstream);
    CPPUNIT_TEST(pausedUpstreamKeepsItsFlows);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t startedAt = 1790000000000;

    static UntrackedFlows untracked()
    {
        return { .startedAtWall = startedAt };
    }

    static void listen(UntrackedFlows& state, Millis from, Millis until)
    {
        for (Millis now = from; now <= until; now += 100)
            recordListening(state, now);
    }

    // All hosts lose power, one of them while its upstream was being stopped, so its agent starts without an upstream.
    // Guards against an agent that cannot deny flows for 20 s, during which no caller learns that its flow is lost. Two
    // refused connections show that there is no upstream.
    void hostWithoutUpstreamDeniesFlows()
    {
        UntrackedFlows state = untracked();
        listen(state, 1000, 1100);
        CPPUNIT_ASSERT(!shouldConnect(state));
        listen(state, 1200, 1200);
        CPPUNIT_ASSERT(shouldConnect(state));
        recordConnection(state, ConnectionOutcome::Refused, 1200);
        CPPUNIT_ASSERT(!recordListening(state, 1210));
        recordConnection(state, ConnectionOutcome::Refused, 1250);
        CPPUNIT_ASSERT(!recordListening(state, 1260));
        recordConnection(state, ConnectionOutcome::Refused, 1300);
        CPPUNIT_ASSERT(!knowsEveryFlow(state));
        CPPUNIT_ASSERT(recordListening(state, 1310));
        CPPUNIT_ASSERT(knowsEveryFlow(state) && !shouldConnect(state));
        CPPUNIT_ASSERT(!recordListening(state, 1410));
    }

    // Guards against an agent that denies the flows of a draining upstream because it has closed its listener.
    void drainingUpstreamMayRefuseConnections()
    {
        UntrackedFlows state = untracked();
        state.mayRefuseConnections = true;
        listen(state, 1000, 1300);
        recordConnection(state, ConnectionOutcome::Refused, 1200);
        recordConnection(state, ConnectionOutcome::Refused, 1300);
        CPPUNIT_ASSERT(!recordListening(state, 1310) && !knowsEveryFlow(state));
    }

    // Guards against an agent that denies the flows of an upstream that is paused for longer than the silence limit.
    void pausedUpstreamKeepsItsFlows()
    {
        UntrackedFlows state = untracked();
        for (Millis from = 1000; from < 20000; from += 4000) {
            listen(state, from, from + 300);
            CPPUNIT_ASSERT(shouldConnect(state));
            recordConnection(state, ConnectionOutcome::Accepted, from + 300);
            listen(state, from + 400, from + 3900);
            CPPUNIT_ASSERT(!knowsEveryFlow(state));
        }
        listen(state, 21000, 21300);
        recordConnection(state, ConnectionOutcome::Refused, 21200);
        recordConnection(state, ConnectionOutcome::Refused, 21300);
        CPPUNIT_ASSERT(recordListening(state, 21310) && knowsEveryFlow(state));
    }

    // Guards against an agent that denies flows of an upstream whose reports are lost while it serves its flows.
    void packetOfAFlowShowsARunningUpstream()
    {
        UntrackedFlows state = untracked();
        listen(state, 1000, 4900);
        recordFlowPacket(state);
        listen(state, 5000, 8800);
        CPPUNIT_ASSERT(!knowsEveryFlow(state));
        listen(state, 8900, 9000);
        CPPUNIT_ASSERT(knowsEveryFlow(state));
        recordFlowPacket(state);
        CPPUNIT_ASSERT(!knowsEveryFlow(state));
        recordShutdown(state);
        recordFlowPacket(state);
        CPPUNIT_ASSERT(knowsEveryFlow(state));
    }

    // An agent is restarted beside a running upstream whose next heartbeat is due later. The upstream accepts a connection,
    // so its flows must not count as lost.
    void upstreamThatListensMayHoldFlows()
    {
        for (const ConnectionOutcome outcome : { ConnectionOutcome::Accepted, ConnectionOutcome::Unclear }) {
            UntrackedFlows state = untracked();
            listen(state, 1000, 1300);
            recordConnection(state, ConnectionOutcome::Refused, 1200);
            recordConnection(state, outcome, 1300);
            recordConnection(state, ConnectionOutcome::Refused, 1400);
            CPPUNIT_ASSERT(!recordListening(state, 1400));
            CPPUNIT_ASSERT(!knowsEveryFlow(state) && !shouldConnect(state));
        }
    }

    // An agent's host is suspended right after the agent's start and resumes five seconds later with unread reports in the
    // agent's socket. The time of the pause must not count as silence of the upstream.
    void pauseDoesNotCountAsSilence()
    {
        UntrackedFlows state = untracked();
        listen(state, 1000, 1200);
        CPPUNIT_ASSERT(!recordListening(state, 6400));
        listen(state, 6500, 9900);
        CPPUNIT_ASSERT(!knowsEveryFlow(state));
        CPPUNIT_ASSERT(recordListening(state, 10000));
    }

    // Upstream and agent start together, and the upstream's first report is sent before the agent listens. The second one
    // arrives 40 ms after the upstream's start, so no earlier agent process can have opened a flow to it.
    void secondReportOfANewUpstreamIsEnough()
    {
        for (const UpstreamReport& report : { reportOf(startedAt - 20, 2), reportOf(startedAt + 900, 3), reportOf(startedAt - 90000, 1) }) {
            UntrackedFlows state = untracked();
            recordReport(state, report, false);
            CPPUNIT_ASSERT(knowsEveryFlow(state));
        }
    }

    // Only the agent was restarted. Its upstream started long before, or has sent more reports than a new one can have:
    // when the clock was set back between both starts, the start time alone makes it look new.
    void runningUpstreamMayHoldFlows()
    {
        for (const UpstreamReport& report : { reportOf(startedAt - 800, 2), reportOf(startedAt + 2000, 9) }) {
            UntrackedFlows state = untracked();
            recordReport(state, report, false);
            listen(state, 1000, 2900);
            CPPUNIT_ASSERT(!knowsEveryFlow(state));
            recordReport(state, reportOf(report.born, 10), false);
            CPPUNIT_ASSERT(!knowsEveryFlow(state));
        }
    }

    // All processes are killed while upstreams shut down. A restarted agent receives one report and then the shutdown
    // notice, or nothing more. Guards against an agent that stays unsure for 20 s in that case.
    void upstreamThatShutsDownHoldsNothing()
    {
        UntrackedFlows state = untracked();
        recordReport(state, reportOf(startedAt - 80000, 70), false);
        recordShutdown(state);
        CPPUNIT_ASSERT(knowsEveryFlow(state));
        state = untracked();
        recordReport(state, reportOf(startedAt - 80000, 70), false);
        listen(state, 1000, 3000);
        CPPUNIT_ASSERT(shouldConnect(state) && !knowsEveryFlow(state));
        recordConnection(state, ConnectionOutcome::Refused, 3000);
        recordConnection(state, ConnectionOutcome::Refused, 3100);
        CPPUNIT_ASSERT(recordListening(state, 3100) && knowsEveryFlow(state));
    }

    // An upstream was so slow that its agent considered it gone. When it reports again, it may still hold its flows.
    void laterReportOverridesGone()
    {
        UntrackedFlows state = untracked();
        recordReport(state, reportOf(startedAt - 80000, 70), false);
        listen(state, 1000, 5000);
        CPPUNIT_ASSERT(knowsEveryFlow(state));
        recordReport(state, reportOf(startedAt - 80000, 71), false);
        CPPUNIT_ASSERT(!knowsEveryFlow(state));
        recordReport(state, reportOf(startedAt + 8000, 1), true);
        CPPUNIT_ASSERT(knowsEveryFlow(state));
    }

    // Guards against an agent that starts without an upstream, is stopped right after that and leaves its directory entry
    // behind.
    void refusalsMayShowAMissingUpstream()
    {
        UntrackedFlows untracked;
        CPPUNIT_ASSERT(mayBeFoundGone(untracked));
        recordConnection(untracked, ConnectionOutcome::Refused, 200);
        recordConnection(untracked, ConnectionOutcome::Refused, 300);
        CPPUNIT_ASSERT(recordListening(untracked, 301));
        CPPUNIT_ASSERT(!mayBeFoundGone(untracked));
        UntrackedFlows served;
        recordReport(served, reportOf(5, 9), false);
        CPPUNIT_ASSERT(!mayBeFoundGone(served));
        UntrackedFlows hung;
        recordConnection(hung, ConnectionOutcome::Unclear, 200);
        CPPUNIT_ASSERT(!mayBeFoundGone(hung));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestUntrackedFlows);
