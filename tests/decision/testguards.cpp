#include "libdecision/closedflows.h"
#include "libdecision/concurrencylimit.h"
#include "libdecision/configorder.h"
#include "libdecision/drain.h"
#include "libdecision/forwarding.h"
#include "libdecision/pausedetector.h"
#include "libdecision/placing.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestGuards : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestGuards);
    CPPUNIT_TEST(closedFlowIsNotReopened);
    CPPUNIT_TEST(misdirectedPacketDoesNotEndAFlow);
    CPPUNIT_TEST(packetsAreDroppedAfterAPause);
    CPPUNIT_TEST(returnWaitsForLinkedBalancers);
    CPPUNIT_TEST(drainingAgentWaitsForCloseGrace);
    CPPUNIT_TEST(warmUpBeginsWithTheFirstSuccess);
    CPPUNIT_TEST(staleLoadReportsAreIgnored);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a request that runs after its caller was told that it had not. The caller closes the flow, and a
    // balancer that was paused then delivers the flow's open and request again.
    void closedFlowIsNotReopened()
    {
        ClosedFlows closed;
        const ClosedFlowOptions options { .retention = 1000, .maxEntries = 2 };
        recordClosedFlow(closed, options, 7, RefusalReason::UpstreamDraining, 0);
        PacketFacts late { .isOpen = true, .closeReason = findCloseReason(closed, 7), .serviceMatches = true };
        CPPUNIT_ASSERT(decidePacket(late).action == PacketAction::ReplyReset);
        CPPUNIT_ASSERT(decidePacket(late).reason == RefusalReason::UpstreamDraining);
        late.closeReason.reset();
        CPPUNIT_ASSERT(decidePacket(late).action == PacketAction::Open);
        recordClosedFlow(closed, options, 8, RefusalReason::FlowUnknown, 10);
        recordClosedFlow(closed, options, 9, RefusalReason::FlowUnknown, 20);
        CPPUNIT_ASSERT(!findCloseReason(closed, 7));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, expireClosedFlows(closed, options, 1015));
        CPPUNIT_ASSERT(!findCloseReason(closed, 8) && findCloseReason(closed, 9));
    }

    // Guards against a feed that ends because of one misdirected packet, which has its flow id and another service's
    // address.
    void misdirectedPacketDoesNotEndAFlow()
    {
        const PacketFacts misdirected { .hasToken = true, .tokenIsOwn = true, .holdsFlow = true, .serviceMatches = false };
        CPPUNIT_ASSERT(decidePacket(misdirected).action == PacketAction::Drop);
        CPPUNIT_ASSERT(decidePacket(misdirected).reason == RefusalReason::WrongService);
    }

    // Guards against stale packets. An agent is paused while its data centre is taken out; when it resumes, older packets
    // wait on its links before the message that says so.
    void packetsAreDroppedAfterAPause()
    {
        PauseDetector detector;
        const PauseDetectorOptions options { .pauseThreshold = 1000, .dropTime = 300 };
        recordRun(detector, options, 0);
        recordRun(detector, options, 1000);
        CPPUNIT_ASSERT(!isDroppingPackets(detector, 1000));
        recordRun(detector, options, 6000);
        CPPUNIT_ASSERT(isDroppingPackets(detector, 6299));
        CPPUNIT_ASSERT(!isDroppingPackets(detector, 6300));
    }

    // Guards against placement by stale load. A balancer with thousands of links gets load reports only every 90 s, and all
    // balancers would send their flows to the member that was emptiest then.
    void staleLoadReportsAreIgnored()
    {
        std::vector<Member> members { { .token = { 1, 1 }, .linked = true, .load = 100 }, { .token = { 2, 1 }, .linked = true, .load = 0 } };
        std::size_t secondChoices = 0;
        for (FlowId flow = 1; flow < 100; ++flow) {
            CPPUNIT_ASSERT(!placeFlow(flow, members, { .loadReportInterval = 90000 })->passedOver);
            secondChoices += placeFlow(flow, members, { .loadReportInterval = 1000 })->passedOver ? 1 : 0;
        }
        CPPUNIT_ASSERT(secondChoices > 0);
    }

    // Guards against resets of new flows by a balancer whose configuration still has a returned data centre taken out.
    void returnWaitsForLinkedBalancers()
    {
        CPPUNIT_ASSERT(!mayAcceptFlowsAfterReturn(5, std::array<ConfigVersion, 2> { 5, 4 }));
        CPPUNIT_ASSERT(mayAcceptFlowsAfterReturn(5, std::array<ConfigVersion, 2> { 5, 6 }));
        CPPUNIT_ASSERT(mayAcceptFlowsAfterReturn(5, {}));
    }

    // Guards against a broken flow when a draining agent closes its last idle flow and the packet that reports this is lost.
    void drainingAgentWaitsForCloseGrace()
    {
        const DrainOptions options { .announceGrace = 100, .closeGrace = 2000 };
        DrainProgress progress { .startedAt = 0, .announced = true, .announcedAt = 0, .lastClosedAt = 500 };
        CPPUNIT_ASSERT(nextDrainStep({}, progress, options, 2499) == DrainStep::Wait);
        CPPUNIT_ASSERT(nextDrainStep({}, progress, options, 2500) == DrainStep::Done);
        // Until the announcement has reached the balancers it serves the flows it holds.
        CPPUNIT_ASSERT(!refusesNewWork(progress, options, 99) && refusesNewWork(progress, options, 100));
        progress.lastClosedAt = 0;
        CPPUNIT_ASSERT(nextDrainStep({}, progress, options, 100) == DrainStep::Done);
    }

    // Guards against a warm-up that starts too early. An upstream refuses connections until 4 s and can then serve one
    // request.
    void warmUpBeginsWithTheFirstSuccess()
    {
        const LimitOptions options { .slots = 5, .warmUp = 4000 };
        ConcurrencyLimit limit;
        recordCompletion(limit, options, { .outcome = WorkOutcome::Failed }, 3000);
        for (Millis now = 4000; now < 4900; now += 50)
            recordCompletion(limit, options, { .outcome = WorkOutcome::Succeeded, .serviceTime = 40, .busy = allowedConcurrency(limit, options) }, now);
        CPPUNIT_ASSERT_EQUAL(1U, allowedConcurrency(limit, options));
        for (Millis now = 5000; now < 5100; now += 50)
            recordCompletion(limit, options, { .outcome = WorkOutcome::Succeeded, .serviceTime = 40, .busy = allowedConcurrency(limit, options) }, now);
        CPPUNIT_ASSERT_EQUAL(2U, allowedConcurrency(limit, options));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestGuards);
