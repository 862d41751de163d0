#include "agentdeployment.h"

using namespace kingcuptrail;

/// An agent with an upstream, callers and a balancer. A flow may be reset only when the upstream's process does not hold it.
class TestFlowEvidence : public PlatformFixture {
    CPPUNIT_TEST_SUITE(TestFlowEvidence);
    CPPUNIT_TEST(newProcessKeepsFlowsOpenedBeforeItsFirstReport);
    CPPUNIT_TEST(lateReportOfReplacedProcessKeepsFlows);
    CPPUNIT_TEST(lateReportOfAnotherServiceKeepsFlows);
    CPPUNIT_TEST(otherServiceKeepsFlowsLearntFromSilence);
    CPPUNIT_TEST(laterPacketsOfOtherFlowsDoNotConfirmALearntOne);
    CPPUNIT_TEST(refusedConnectionsKeepFlowsOfDrainingUpstream);
    CPPUNIT_TEST(refusedConnectionsKeepFlowsOfReadyUpstream);
    CPPUNIT_TEST(endedProcessResetsItsFlows);
    CPPUNIT_TEST(latePacketOfAFormerFlowKeepsTheNextOne);
    CPPUNIT_TEST(stoppedAgentStaysKnownBesideDrainingUpstream);
    CPPUNIT_TEST(stoppedAgentIsGoneAfterItsUpstreamsNotice);
    CPPUNIT_TEST(restartedAgentDoesNotDenyFlowsOfDrainingUpstream);
    CPPUNIT_TEST(idleFlowIsKeptForTheConfiguredTime);
    CPPUNIT_TEST(foreignReportsKeepFlowsAndOpenings);
    CPPUNIT_TEST(foreignReportsDoNotMakeAnAgentDenyFlows);
    CPPUNIT_TEST(ignoredReportConfirmsNoDrain);
    CPPUNIT_TEST_SUITE_END();

    using Deployment = AgentDeployment;

    /// Longer than the agent takes to find the end of its upstream, and than several of its regular checks.
    static constexpr Millis settlingTime = 900;

    /// Sends data on the flow and waits until it is acknowledged.
    static void expectHeld(Deployment& deployment, std::uint16_t port)
    {
        CPPUNIT_ASSERT(!deployment.reset.contains(port));
        deployment.acknowledged.erase(port);
        deployment.sendData(port);
        runUntil(deployment.context, [&] { return deployment.acknowledged.contains(port); });
    }

    // Guards against an agent that denies flows which are idle for less than the idle limit of the configuration in force.
    void idleFlowIsKeptForTheConfiguredTime()
    {
        Deployment deployment(m_context, m_options);
        deployment.listen();
        deployment.report({});
        deployment.open(1);
        RouteTable longer = deployment.balancer.routes();
        longer.version = 8;
        longer.idleLimit = 30000;
        deployment.balancer.updateRoutes(std::move(longer));
        for (std::uint64_t second = 1; second <= 25; ++second) {
            deployment.runFor(1000);
            deployment.report({ .sequence = second + 1 });
        }
        expectHeld(deployment, 1);
        CPPUNIT_ASSERT_EQUAL(0U, deployment.denials);
    }

    /// Sends such a report `times` times, with a pause of `gap` milliseconds after each.
    static void sendForeign(Deployment& deployment, Report foreign, unsigned times, Millis gap)
    {
        for (unsigned sent = 0; sent < times; ++sent) {
            deployment.statusOf({ .method = "PUT", .target = "/targets/" + foreign.id, .body = Deployment::bodyOf(foreign) });
            ++foreign.sequence;
            deployment.runFor(gap);
        }
    }

    // Guards against reports of another program that reset the flows of a running upstream, or keep it without openings.
    void foreignReportsKeepFlowsAndOpenings()
    {
        constexpr std::uint64_t farFuture = 253402300799999;
        const std::vector<Report> foreignReports {
            { .id = "cellar-1", .born = 5000, .service = "ledger" },
            { .id = "cellar-2", .born = 5000, .service = "ledger", .state = "draining", .zone = "attic" },
            { .id = "cellar-3", .born = farFuture, .state = "draining" },
            { .id = "i-1", .born = 5000, .service = "ledger" },
            { .id = "i-1", .born = 1000, .sequence = 80, .service = "ledger" },
            { .id = "i-1", .born = farFuture, .zone = "attic" },
        };
        Deployment deployment(m_context, m_options);
        // The upstream acknowledges requests and answers none; without a latency target it does not count as hanging.
        RouteTable routes = deployment.balancer.routes();
        routes.version = 8;
        routes.routes.front().latencyTarget = 0;
        deployment.balancer.updateRoutes(std::move(routes));
        runUntil(m_context, [&] { return deployment.agent.statusFields().find("\"routesVersion\":8") != std::string::npos; });
        deployment.listen();
        deployment.report({});
        deployment.open(1);
        deployment.runFor(deployment.settings.packets.addressReuse + 1500);
        std::uint64_t sequence = 1;
        deployment.report({ .sequence = ++sequence });
        std::uint16_t port = 1;
        for (const Report& foreign : foreignReports) {
            for (const Millis gap : { 20, 400 }) {
                sendForeign(deployment, foreign, 3, gap);
                expectHeld(deployment, 1);
                deployment.statusOf({ .method = "PUT", .target = "/targets/i-1", .body = Deployment::bodyOf({ .sequence = ++sequence }) });
                runUntil(m_context, [&] { return deployment.agent.statusFields().find("\"serving\":true") != std::string::npos; });
                deployment.open(++port);
            }
        }
        CPPUNIT_ASSERT(deployment.reset.empty() && deployment.denials == 0 && deployment.hasService("board"));
    }

    // Guards against an agent that was started beside an upstream with open flows and denies them because another program's report
    // passes for the first one of a new process.
    void foreignReportsDoNotMakeAnAgentDenyFlows()
    {
        Deployment deployment(m_context, m_options);
        deployment.listen();
        deployment.upstream->openings.insert(1);
        sendForeign(deployment, { .id = "cellar-1", .born = 5000, .service = "ledger" }, 2, 20);
        deployment.report({ .sequence = 70 });
        deployment.runFor(settlingTime);
        deployment.report({ .sequence = 71 });
        sendForeign(deployment, { .id = "cellar-2", .born = 6000 }, 2, 20);
        expectHeld(deployment, 1);
        CPPUNIT_ASSERT_EQUAL(0U, deployment.denials);
    }

    // Guards against an upstream that is told that it gets no openings any more although its report was ignored.
    void ignoredReportConfirmsNoDrain()
    {
        Deployment deployment(m_context, m_options);
        deployment.listen();
        deployment.report({ .sequence = 70 });
        deployment.report({ .id = "cellar-1", .born = 5000 });
        const std::string body = Deployment::bodyOf({ .sequence = 71, .state = "draining" });
        CPPUNIT_ASSERT_EQUAL(503, deployment.statusOf({ .method = "PUT", .target = "/targets/i-1", .body = body }));
    }

    // Guards against a reset of flows that a new upstream process accepted before its first report arrived.
    void newProcessKeepsFlowsOpenedBeforeItsFirstReport()
    {
        Deployment deployment(m_context, m_options);
        deployment.listen();
        deployment.report({ .id = "i-1", .born = 1000 });
        deployment.open(1);
        deployment.startUpstream();
        deployment.open(2);
        deployment.report({ .id = "i-2", .born = 2000 });
        runUntil(m_context, [&] { return deployment.reset.contains(1); });
        deployment.runFor(settlingTime);
        expectHeld(deployment, 2);
    }

    // Guards against a late report of a replaced process that passes for a new one because both started in the same millisecond.
    void lateReportOfReplacedProcessKeepsFlows()
    {
        Deployment deployment(m_context, m_options);
        deployment.listen();
        deployment.report({ .id = "i-1", .sequence = 8 });
        deployment.startUpstream();
        deployment.report({ .id = "i-2" });
        deployment.open(1);
        deployment.report({ .id = "i-1", .sequence = 9 });
        deployment.report({ .id = "i-2", .sequence = 2 });
        deployment.runFor(settlingTime);
        expectHeld(deployment, 1);
    }

    // Guards against a report of a process of another service that is believed while the upstream's process is known to run.
    void lateReportOfAnotherServiceKeepsFlows()
    {
        Deployment deployment(m_context, m_options);
        deployment.listen();
        deployment.report({ .id = "i-2", .born = 1000 });
        deployment.open(1);
        deployment.report({ .id = "i-1", .born = 1500, .sequence = 9, .service = "intake" });
        deployment.report({ .id = "i-2", .born = 1000, .sequence = 2 });
        deployment.runFor(settlingTime);
        expectHeld(deployment, 1);
        CPPUNIT_ASSERT(deployment.announcedState() == PeerState::Ready);
    }

    // Guards against a reset of another upstream's flow: an agent learnt it because its own upstream was paused and returned nothing,
    // and then another service took over the address.
    void otherServiceKeepsFlowsLearntFromSilence()
    {
        Deployment deployment(m_context, m_options);
        deployment.report({ .sequence = 70 });
        deployment.upstream->isSilent = true;
        deployment.sendData(1);
        runUntil(m_context, [&] { return deployment.agent.statusFields().find("\"openFlows\":1") != std::string::npos; });
        deployment.runFor(deployment.settings.packets.addressReuse);
        deployment.report({ .id = "i-2", .born = 2000, .service = "intake" });
        deployment.runFor(settlingTime);
        CPPUNIT_ASSERT(deployment.reset.empty());
        CPPUNIT_ASSERT(deployment.agent.statusFields().find("\"service\":\"intake\"") != std::string::npos);
    }

    // Guards against a reset of another upstream's flow that was learnt from silence, after its own upstream has gone on with others.
    void laterPacketsOfOtherFlowsDoNotConfirmALearntOne()
    {
        Deployment deployment(m_context, m_options);
        deployment.listen();
        deployment.report({ .sequence = 70 });
        deployment.upstream->isSilent = true;
        deployment.sendData(1);
        runUntil(m_context, [&] { return deployment.agent.statusFields().find("\"openFlows\":1") != std::string::npos; });
        deployment.upstream->isSilent = false;
        deployment.report({ .sequence = 71 });
        deployment.open(2);
        deployment.acceptor.reset();
        deployment.upstream->isSilent = true;
        deployment.runFor(deployment.settings.packets.addressReuse);
        deployment.report({ .id = "i-2", .born = 2000, .sequence = 1, .service = "intake" });
        runUntil(m_context, [&] { return deployment.reset.contains(2); });
        deployment.runFor(settlingTime);
        CPPUNIT_ASSERT(!deployment.reset.contains(1));
    }

    /// An upstream accepts no connections and is slow to answer; its flow stays open.
    void expectFlowsKeptWithoutListener(const std::string& state)
    {
        Deployment deployment(m_context, m_options);
        deployment.report({});
        deployment.open(1);
        deployment.report({ .sequence = 2, .state = state });
        deployment.upstream->isSilent = true;
        deployment.sendData(1);
        deployment.sendData(1);
        deployment.runFor(settlingTime);
        deployment.upstream->isSilent = false;
        expectHeld(deployment, 1);
    }

    // Guards against refused connections that pass for the end of an upstream that drains and serves its open flows.
    void refusedConnectionsKeepFlowsOfDrainingUpstream()
    {
        expectFlowsKeptWithoutListener("draining");
    }

    // Guards against refused connections that pass for the end of an upstream whose listener has failed.
    void refusedConnectionsKeepFlowsOfReadyUpstream()
    {
        expectFlowsKeptWithoutListener("ready");
    }

    // Guards against callers that wait for their deadlines after the end of an upstream's process.
    void endedProcessResetsItsFlows()
    {
        Deployment deployment(m_context, m_options);
        deployment.report({});
        deployment.open(1);
        deployment.open(2);
        deployment.upstream.reset();
        deployment.sendData(1);
        deployment.sendData(1);
        const Millis endedAt = deployment.clock.now();
        runUntil(m_context, [&] { return deployment.reset.size() == 2; });
        CPPUNIT_ASSERT(deployment.clock.now() - endedAt < 1000);
    }

    // Guards against a flow that is lost when a late packet of a former flow between the same ports arrives and the upstream returns it.
    void latePacketOfAFormerFlowKeepsTheNextOne()
    {
        Deployment deployment(m_context, m_options);
        deployment.report({});
        deployment.open(1);
        const auto late = encodePacket({ .source = Deployment::flow(1).caller, .destination = boardAddress, .flags = { .acknowledges = true }, .sequence = callerSequence + 1, .acknowledged = upstreamSequence + 5000000, .data = "question" });
        for (const wire::PeerKind kind : { wire::PeerKind::Probe, wire::PeerKind::Forward })
            deployment.balancer.send(host(1).to_uint(), { .kind = kind, .flow = Deployment::flow(1), .configVersion = 7, .packet = late });
        deployment.balancer.send(host(1).to_uint(), { .kind = wire::PeerKind::Find, .flow = Deployment::flow(1), .configVersion = 7, .acknowledged = upstreamSequence + 5000000 });
        deployment.runFor(settlingTime);
        CPPUNIT_ASSERT_EQUAL(3U, deployment.denials);
        expectHeld(deployment, 1);
    }

    // Guards against an agent that is restarted beside a draining upstream and announces that it is gone: searches would deny the
    // upstream's flows without it.
    void stoppedAgentStaysKnownBesideDrainingUpstream()
    {
        Deployment deployment(m_context, m_options);
        deployment.listen();
        deployment.report({});
        deployment.open(1);
        deployment.report({ .sequence = 2, .state = "draining" });
        runUntil(m_context, [&] { return deployment.announcedState() == PeerState::Draining; });
        bool isDone = false;
        deployment.agent.shutDown([&isDone] { isDone = true; });
        runUntil(m_context, [&isDone] { return isDone; });
        deployment.runFor(settlingTime);
        CPPUNIT_ASSERT(deployment.announcedState() == PeerState::Draining);
    }

    // Guards against the entry of a host that is removed with its upstream: every search would wait for its agent. A flow that the
    // upstream has not closed is no reason to keep it.
    void stoppedAgentIsGoneAfterItsUpstreamsNotice()
    {
        Deployment deployment(m_context, m_options);
        deployment.listen();
        deployment.report({});
        deployment.open(1);
        deployment.call({ .method = "DELETE", .target = "/targets/i-1" });
        deployment.agent.shutDown([] {});
        runUntil(m_context, [&] { return deployment.announcedState() == PeerState::Gone; });
    }

    // Guards against an agent that starts beside a draining upstream, takes refused connections for its end and denies its flows.
    void restartedAgentDoesNotDenyFlowsOfDrainingUpstream()
    {
        Deployment deployment(m_context, m_options);
        deployment.balancer.updateEntry({ .name = "agent-1", .address = host(1).to_uint(), .dataCentre = "north", .service = "board", .state = PeerState::Draining, .slots = 5, .epoch = 1000 });
        deployment.runFor(settlingTime);
        deployment.balancer.send(host(1).to_uint(), { .kind = wire::PeerKind::Find, .flow = Deployment::flow(1), .configVersion = 7, .acknowledged = upstreamSequence + 1 });
        deployment.runFor(settlingTime);
        CPPUNIT_ASSERT_EQUAL(0U, deployment.denials);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFlowEvidence);
