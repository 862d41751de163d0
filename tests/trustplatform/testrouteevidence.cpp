#include "agentdeployment.h"

using namespace kingcuptrail;

/// An agent at whose address the upstream changes. An opening may reach only an upstream of the service that it is for.
class TestRouteEvidence : public PlatformFixture {
    CPPUNIT_TEST_SUITE(TestRouteEvidence);
    CPPUNIT_TEST(olderConfigurationAdmitsNoOtherService);
    CPPUNIT_TEST(usedPortDoesNotReachTheNextService);
    CPPUNIT_TEST(reportReadAfterAPauseIsNoEvidence);
    CPPUNIT_TEST(contradictingReportStopsOpenings);
    CPPUNIT_TEST(reportsOutweighASilentConnection);
    CPPUNIT_TEST(openingIsNotDeliveredAsAPacketOfAFlow);
    CPPUNIT_TEST_SUITE_END();

    /// Longer than an opening takes to reach the upstream, and than several rounds of gossip.
    static constexpr Millis settlingTime = 600;

    const Report m_intake { .id = "i-2", .born = 2000, .service = "intake" };

    /// Sends an opening to the board's address and expects that the upstream does not get it.
    static void expectKeptAway(AgentDeployment& deployment, std::uint16_t port, ConfigVersion version = 7)
    {
        deployment.upstream->openings.clear();
        deployment.sendOpening(port, version);
        deployment.runFor(settlingTime);
        CPPUNIT_ASSERT(deployment.upstream->openings.empty());
    }

    // Guards against openings that reach another service because the balancer's configuration is newer than the agent's.
    void olderConfigurationAdmitsNoOtherService()
    {
        AgentDeployment deployment(m_context, m_options);
        deployment.report(m_intake);
        expectKeptAway(deployment, 1, 9);
    }

    // Guards against an opening from a port that was used before: it passed for a copy, and was delivered without a check.
    void usedPortDoesNotReachTheNextService()
    {
        AgentDeployment deployment(m_context, m_options);
        deployment.report({});
        deployment.open(1);
        deployment.sendOpening(1, 7);
        deployment.startUpstream();
        AgentDeployment::pause(deployment.settings.packets.addressReuse);
        deployment.runFor(settlingTime);
        CPPUNIT_ASSERT(deployment.upstream->openings.empty());
    }

    // Guards against a report that waited while the agent was paused and then passed for a new one.
    void reportReadAfterAPauseIsNoEvidence()
    {
        AgentDeployment deployment(m_context, m_options);
        deployment.report({});
        deployment.reportUnread({ .sequence = 2 });
        deployment.startUpstream();
        AgentDeployment::pause(deployment.settings.packets.addressReuse);
        deployment.report(m_intake);
        deployment.runFor(settlingTime);
        expectKeptAway(deployment, 1);
        CPPUNIT_ASSERT(deployment.hasService("intake"));
    }

    // Guards against openings for one service while another one reports from the address.
    void contradictingReportStopsOpenings()
    {
        AgentDeployment deployment(m_context, m_options);
        deployment.report({});
        deployment.report(m_intake);
        expectKeptAway(deployment, 1);
        deployment.report({ .sequence = 2 });
        deployment.open(2);
    }

    // Guards against an idle connection that went silent and passes for the former upstream for as long as it exists.
    void reportsOutweighASilentConnection()
    {
        AgentDeployment deployment(m_context, m_options);
        deployment.listen();
        deployment.report({});
        deployment.runFor(deployment.settings.packets.addressReuse);
        deployment.startUpstream();
        deployment.runFor(deployment.settings.packets.addressReuse);
        Report report = m_intake;
        for (report.sequence = 1; report.sequence <= 2; ++report.sequence) {
            deployment.report(report);
            deployment.runFor(settlingTime);
        }
        CPPUNIT_ASSERT(deployment.hasService("intake"));
    }

    // Guards against an opening that passes for a packet of a flow that only the upstream may know, and is delivered unchecked.
    void openingIsNotDeliveredAsAPacketOfAFlow()
    {
        AgentDeployment deployment(m_context, m_options);
        Report report = m_intake;
        report.sequence = 70;
        deployment.report(report);
        deployment.balancer.send(host(1).to_uint(), { .kind = wire::PeerKind::Forward, .flow = AgentDeployment::flow(1), .configVersion = 7, .packet = AgentDeployment::opening(1) });
        deployment.runFor(settlingTime);
        CPPUNIT_ASSERT(deployment.upstream->openings.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRouteEvidence);
