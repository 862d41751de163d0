#include "packetfixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestAgentFlows : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestAgentFlows);
    CPPUNIT_TEST(flowOpensAndCloses);
    CPPUNIT_TEST(upstreamWithoutAcceptedAnswerDoesNotOwnTheFlow);
    CPPUNIT_TEST(restartedAgentDeliversToLearn);
    CPPUNIT_TEST(probeOfAKnownFlowIsAnswered);
    CPPUNIT_TEST(acceptedPacketAddsItsFlow);
    CPPUNIT_TEST(tableIsCompleteAfterTheIdleLimit);
    CPPUNIT_TEST(newUpstreamProcessLosesEveryFlow);
    CPPUNIT_TEST(uncompletedOpeningsAreNotReset);
    CPPUNIT_TEST(flowsLearntWithoutAnUpstreamAreNotReset);
    CPPUNIT_TEST(workIsCountedFromRequestToAnswer);
    CPPUNIT_TEST(resentRequestsDoNotCountAsWork);
    CPPUNIT_TEST(abandonedOpeningsDoNotKeepSlots);
    CPPUNIT_TEST(sweepRemovesExpiredFlows);
    CPPUNIT_TEST(idleFlowsAreKeptForTheConfiguredTime);
    CPPUNIT_TEST(shorterLimitKeepsFlowsOfTheLongerOne);
    CPPUNIT_TEST(longerLimitAppliesToRemovedFlows);
    CPPUNIT_TEST(fullTableDoesNotDenyWhatItDropped);
    CPPUNIT_TEST(restartedAgentIsUnsureForTheLongestLimit);
    CPPUNIT_TEST_SUITE_END();

    static AgentFlows completeTable()
    {
        AgentFlows table;
        table.isComplete = true;
        return table;
    }

    void flowOpensAndCloses()
    {
        AgentFlows table = completeTable();
        const FlowKey flow = flowOf(1);
        openFlow(table, flow, 10);
        CPPUNIT_ASSERT_EQUAL(1U, table.open);
        PacketHeader last = callerPacket(502);
        last.flags.ends = true;
        CPPUNIT_ASSERT(trackCallerPacket(table, flow, last, 20) == CallerPacketAction::Deliver);
        PacketHeader lastBack = upstreamData(0);
        lastBack.flags.ends = true;
        trackUpstreamPacket(table, flow, lastBack, 21);
        CPPUNIT_ASSERT_EQUAL(0U, table.open);
        // Late packets of both ends still find the flow.
        CPPUNIT_ASSERT(trackCallerPacket(table, flow, last, 30) == CallerPacketAction::Deliver);
    }

    // A copy of the opening packet is admitted at a second upstream, but the caller accepts the answer of the first. Guards
    // against delivering the caller's request at the second agent: its upstream would return every packet and the flow
    // would stall.
    void upstreamWithoutAcceptedAnswerDoesNotOwnTheFlow()
    {
        AgentFlows table = completeTable();
        const FlowKey flow = flowOf(2);
        beginFlow(table, flow, 10);
        CPPUNIT_ASSERT(trackCallerPacket(table, flow, callerPacket(901), 11) == CallerPacketAction::NotHeld);
        trackUpstreamPacket(table, flow, upstreamAnswer(500), 12);
        CPPUNIT_ASSERT(trackCallerPacket(table, flow, callerPacket(900000), 13) == CallerPacketAction::NotHeld);
        CPPUNIT_ASSERT(answerHolderQuery(table, flow, 900000, 13) == HolderAnswer::NotHeld);
        CPPUNIT_ASSERT(answerHolderQuery(table, flow, 501, 13) == HolderAnswer::Held);
        CPPUNIT_ASSERT(trackCallerPacket(table, flow, callerPacket(501), 14) == CallerPacketAction::Deliver);
    }

    // An agent is restarted while its upstream keeps running with all its flows. Guards against denying these flows, which
    // would reset them; the packet is delivered to find out whether the upstream holds the flow.
    void restartedAgentDeliversToLearn()
    {
        AgentFlows table;
        table.completeAt = 20000;
        const FlowKey flow = flowOf(3);
        CPPUNIT_ASSERT(trackCallerPacket(table, flow, callerPacket(700, 50), 10) == CallerPacketAction::DeliverToLearn);
        CPPUNIT_ASSERT(answerHolderQuery(table, flow, 700, 10) == HolderAnswer::Unsure);
        CPPUNIT_ASSERT(trackUpstreamPacket(table, flow, upstreamData(50), 12).isLearnt);
        CPPUNIT_ASSERT(trackCallerPacket(table, flow, callerPacket(750), 13) == CallerPacketAction::Deliver);
        CPPUNIT_ASSERT(answerHolderQuery(table, flow, 750, 13) == HolderAnswer::Held);
    }

    // After a restart of all balancers and agents, an agent has learnt a flow from one packet, and a balancer that does not
    // know the flow sends the next one to all unsure agents. Guards against a holder that delivers it without an answer:
    // each packet of the flow then went to sixty agents for twenty seconds.
    void probeOfAKnownFlowIsAnswered()
    {
        AgentFlows table;
        table.completeAt = 20000;
        CPPUNIT_ASSERT(!answerToProbe(trackCallerPacket(table, flowOf(3), callerPacket(640, 10), 10)));
        learnFlow(table, flowOf(3), 640, 22);
        CPPUNIT_ASSERT(answerToProbe(trackCallerPacket(table, flowOf(3), callerPacket(640, 20), 30)) == HolderAnswer::Held);
        table.isComplete = true;
        CPPUNIT_ASSERT(answerToProbe(trackCallerPacket(table, flowOf(4), callerPacket(640, 10), 40)) == HolderAnswer::NotHeld);
    }

    // A flow whose packet the upstream did not return is kept, but only a packet of the upstream shows that it may be reset.
    void acceptedPacketAddsItsFlow()
    {
        AgentFlows table;
        table.completeAt = 20000;
        learnFlow(table, flowOf(3), 640, 10);
        CPPUNIT_ASSERT(trackCallerPacket(table, flowOf(3), callerPacket(640, 10), 11) == CallerPacketAction::Deliver);
        CPPUNIT_ASSERT_EQUAL(1U, table.open);
        AgentFlows confirmed = table;
        trackUpstreamPacket(confirmed, flowOf(3), upstreamData(50), 12);
        CPPUNIT_ASSERT(extractLostFlows(table).empty());
        const auto lost = extractLostFlows(confirmed);
        CPPUNIT_ASSERT(lost.size() == 1 && lost.front().callerAcknowledged == 640);
    }

    void tableIsCompleteAfterTheIdleLimit()
    {
        AgentFlows table;
        table.completeAt = 20000;
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(4), 1, 19999) == HolderAnswer::Unsure);
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(4), 1, 20000) == HolderAnswer::NotHeld);
    }

    // When a new upstream process reports, all flows of the previous one are lost. Guards against callers that wait for
    // their deadline: each open flow is reset with the caller's last acknowledgement.
    void newUpstreamProcessLosesEveryFlow()
    {
        AgentFlows table;
        openFlow(table, flowOf(5), 10);
        trackCallerPacket(table, flowOf(5), callerPacket(640, 100), 11);
        const auto lost = extractLostFlows(table);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, lost.size());
        CPPUNIT_ASSERT(lost.front().flow == flowOf(5) && lost.front().callerAcknowledged == 640);
        CPPUNIT_ASSERT_EQUAL(0U, table.open);
        CPPUNIT_ASSERT_EQUAL(0U, table.atWork);
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(5), 640, 20) == HolderAnswer::NotHeld);
    }

    // An agent is restarted beside its upstream, which then ends. Until that is found, no packet of a search is returned, so
    // that the agent takes flows of other upstreams for its own. Guards against resetting these.
    void flowsLearntWithoutAnUpstreamAreNotReset()
    {
        AgentFlows table;
        openFlow(table, flowOf(7), 100);
        learnFlow(table, flowOf(8), 640, 200);
        trackUpstreamPacket(table, flowOf(7), upstreamData(50), 300);
        const auto lost = extractLostFlows(table);
        CPPUNIT_ASSERT(lost.size() == 1 && lost.front().flow == flowOf(7));
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(8), 640, 300) == HolderAnswer::NotHeld);
    }

    // A balancer is paused with an opening packet in its socket, and the caller's copy opens the flow at another upstream
    // through another balancer. Two seconds later the paused balancer resumes and forwards the old packet to this agent,
    // whose upstream is then replaced. Guards against a reset of the flow, which the other upstream holds.
    void uncompletedOpeningsAreNotReset()
    {
        AgentFlows table;
        beginFlow(table, flowOf(6), 12);
        trackUpstreamPacket(table, flowOf(6), upstreamAnswer(500), 13);
        CPPUNIT_ASSERT(extractLostFlows(table).empty());
    }

    void workIsCountedFromRequestToAnswer()
    {
        AgentFlows table = completeTable();
        openFlow(table, flowOf(7), 10);
        trackCallerPacket(table, flowOf(7), callerPacket(501, 900), 11);
        CPPUNIT_ASSERT_EQUAL(1U, table.atWork);
        trackUpstreamPacket(table, flowOf(7), upstreamData(600), 50);
        CPPUNIT_ASSERT_EQUAL(0U, table.atWork);
        trackCallerPacket(table, flowOf(7), callerPacket(1101), 51);
        CPPUNIT_ASSERT_EQUAL(0U, table.atWork);
    }

    // After a restart of all agents within half a second, callers resend requests whose answers are already under way.
    // Guards against counting them as new work that is never answered: agents were then busy for 1.5 s, and openings
    // expired beside idle upstreams.
    void resentRequestsDoNotCountAsWork()
    {
        AgentFlows table;
        table.completeAt = 20000;
        PacketHeader answer = upstreamData(600);
        answer.acknowledged = 201;
        trackUpstreamPacket(table, flowOf(8), answer, 10);
        trackCallerPacket(table, flowOf(8), callerPacket(501, 100), 11);
        CPPUNIT_ASSERT_EQUAL(0U, table.atWork);
        PacketHeader next = callerPacket(1101, 100);
        next.sequence = 201;
        trackCallerPacket(table, flowOf(8), next, 12);
        CPPUNIT_ASSERT_EQUAL(1U, table.atWork);
    }

    // After an outage callers give up while their openings wait, and upstreams resend their answers for ten seconds each.
    // Guards against counting such openings as work for that long: other openings then wait until their callers leave too,
    // and half of all requests failed although every upstream was idle.
    void abandonedOpeningsDoNotKeepSlots()
    {
        AgentFlows table = completeTable();
        for (std::uint16_t caller = 1; caller <= 10; ++caller)
            beginFlow(table, flowOf(caller), 10);
        CPPUNIT_ASSERT_EQUAL(10U, table.atWork);
        for (std::uint16_t caller = 1; caller <= 10; ++caller)
            trackUpstreamPacket(table, flowOf(caller), upstreamAnswer(500), 150);
        expireWork(table, 10 + table.options.openingWorkTime);
        CPPUNIT_ASSERT_EQUAL(0U, table.atWork);
        openFlow(table, flowOf(11), 200);
        trackCallerPacket(table, flowOf(11), callerPacket(501, 900), 201);
        expireWork(table, 201 + table.options.requestWorkTime - 1);
        CPPUNIT_ASSERT_EQUAL(1U, table.atWork);
        expireWork(table, 201 + table.options.requestWorkTime);
        CPPUNIT_ASSERT_EQUAL(0U, table.atWork);
    }

    void sweepRemovesExpiredFlows()
    {
        AgentFlows table = completeTable();
        updateIdleLimits(table, { .current = 15000 }, 0);
        for (std::uint16_t caller = 1; caller <= 100; ++caller)
            openFlow(table, flowOf(caller), 10);
        for (int turn = 0; turn < 64; ++turn)
            sweepFlows(table, 20010);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 100 }, table.flows.size());
        for (int turn = 0; turn < 64; ++turn)
            sweepFlows(table, 20011);
        CPPUNIT_ASSERT(table.flows.empty());
        CPPUNIT_ASSERT_EQUAL(0U, table.open);
        CPPUNIT_ASSERT_EQUAL(0U, table.atWork);
    }

    static void sweepWhole(AgentFlows& table, Millis now)
    {
        for (int turn = 0; turn < 64; ++turn)
            sweepFlows(table, now);
    }

    // Guards against resetting flows that are idle for less than the configuration's idle limit.
    void idleFlowsAreKeptForTheConfiguredTime()
    {
        for (const Millis limit : { 5000, 15000, 30000, 300000 }) {
            AgentFlows table = completeTable();
            updateIdleLimits(table, { .current = limit }, 0);
            openFlow(table, flowOf(1), 10);
            sweepWhole(table, 10 + limit);
            CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(1), 501, 10 + limit) == HolderAnswer::Held);
            sweepWhole(table, 11 + limit + table.idleLimits.margin);
            CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(1), 501, 11 + limit + table.idleLimits.margin) == HolderAnswer::NotHeld);
        }
    }

    // Guards against resetting a flow that became idle under a longer limit than the one now in force.
    void shorterLimitKeepsFlowsOfTheLongerOne()
    {
        AgentFlows table = completeTable();
        IdleLimits limits { .current = 60000 };
        openFlow(table, flowOf(1), 10);
        applyIdleLimit(limits, 5000, 20000);
        updateIdleLimits(table, limits, 0);
        openFlow(table, flowOf(2), 20010);
        sweepWhole(table, 60000);
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(1), 501, 60000) == HolderAnswer::Held);
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(2), 501, 60000) == HolderAnswer::NotHeld);
    }

    // Guards against denying a flow that was removed under a shorter limit than the one now in force.
    void longerLimitAppliesToRemovedFlows()
    {
        AgentFlows table = completeTable();
        IdleLimits limits { .current = 5000 };
        updateIdleLimits(table, limits, 0);
        openFlow(table, flowOf(1), 10);
        sweepWhole(table, 15000);
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(1), 501, 15000) == HolderAnswer::NotHeld);
        applyIdleLimit(limits, 30000, 16000);
        updateIdleLimits(table, limits, 0);
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(1), 501, 16000) == HolderAnswer::Unsure);
        CPPUNIT_ASSERT(trackCallerPacket(table, flowOf(1), callerPacket(501), 16000) == CallerPacketAction::DeliverToLearn);
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(1), 501, 35011) == HolderAnswer::NotHeld);
    }

    // Guards against resetting flows that were dropped to bound the memory.
    void fullTableDoesNotDenyWhatItDropped()
    {
        AgentFlows table = completeTable();
        table.options.maxFlows = 80;
        updateIdleLimits(table, { .current = 3600000 }, 0);
        for (std::uint16_t caller = 1; caller <= 100; ++caller)
            openFlow(table, flowOf(caller), caller);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 30 }, sweepFlows(table, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 70 }, table.flows.size());
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(30), 501, 1000) == HolderAnswer::Unsure);
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(31), 501, 1000) == HolderAnswer::Held);
    }

    // Guards against a restarted agent that denies flows which were idle since before its start, for less than their limit.
    void restartedAgentIsUnsureForTheLongestLimit()
    {
        AgentFlows table;
        IdleLimits limits;
        updateIdleLimits(table, limits, 1000);
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(1), 501, 1000000) == HolderAnswer::Unsure);
        applyIdleLimit(limits, 30000, 1100);
        updateIdleLimits(table, limits, 1000);
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(1), 501, 31000) == HolderAnswer::Unsure);
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(1), 501, 36000) == HolderAnswer::NotHeld);
        const std::vector<IdleLimitAge> known { { .limit = 50000, .age = 2100 } };
        addFormerLimits(limits, known, 1100);
        updateIdleLimits(table, limits, 1000);
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(1), 501, 53999) == HolderAnswer::Unsure);
        CPPUNIT_ASSERT(answerHolderQuery(table, flowOf(1), 501, 54000) == HolderAnswer::NotHeld);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAgentFlows);
