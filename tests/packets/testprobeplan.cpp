#include "libdecision/probeplan.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

namespace {

/// A search in `centres` data centres with `agents` agents each. All agents are asked and become unsure.
struct UnsureFleet {
    HolderSearch search;
    AgentsByDataCentre asked;
    ProbePlan plan { .ownDataCentre = "dc0" };

    UnsureFleet(std::uint32_t centres, std::uint32_t agents)
    {
        std::vector<std::uint32_t> all;
        for (std::uint32_t centre = 0; centre < centres; ++centre) {
            for (std::uint32_t agent = 0; agent < agents; ++agent) {
                all.push_back(centre * 10000 + agent + 1);
                asked[nameOf(centre)].push_back(all.back());
            }
        }
        search = beginSearch(all, 1000);
    }

    static std::string nameOf(std::uint32_t centre) { return "dc" + std::to_string(centre); }

    void becomeUnsure(const std::string& dataCentre, bool isOfService = true)
    {
        for (const std::uint32_t agent : asked[dataCentre])
            becomeUnsure(agent, dataCentre, isOfService);
    }

    void becomeUnsure(std::uint32_t agent, const std::string& dataCentre, bool isOfService = true)
    {
        recordAnswer(search, agent, HolderAnswer::Unsure);
        addUnsureAgent(plan, { .address = agent, .dataCentre = dataCentre, .isOfService = isOfService });
    }

    void denyAll(const std::string& dataCentre)
    {
        for (const std::uint32_t agent : asked[dataCentre])
            recordAnswer(search, agent, HolderAnswer::NotHeld);
    }

    std::vector<ProbeGroup> probe(bool isNearOverdue = false) { return nextProbes(plan, search, asked, isNearOverdue); }
};

/// Number of packets that the balancer itself sends for these probes.
std::size_t copiesOf(const std::vector<ProbeGroup>& groups)
{
    std::size_t copies = 0;
    for (const ProbeGroup& group : groups)
        copies += group.isForwarded ? 1 : group.members.size();
    return copies;
}

}

class TestProbePlan : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestProbePlan);
    CPPUNIT_TEST(copiesGrowWithDataCentresOnly);
    CPPUNIT_TEST(nearAgentsComeFirst);
    CPPUNIT_TEST(remoteAgentsWaitForNearOnes);
    CPPUNIT_TEST(silentDataCentreDoesNotDelayOthers);
    CPPUNIT_TEST(otherServicesComeLast);
    CPPUNIT_TEST(agentsUnsureOneByOneGetOnePacket);
    CPPUNIT_TEST(fewAgentsAreProbedDirectly);
    CPPUNIT_TEST(lastOpenAgentsOfALargeCentreAreProbedDirectly);
    CPPUNIT_TEST(disagreementLeavesOnlyOneAgentUndecided);
    CPPUNIT_TEST(largeDataCentreCanDenyAFlow);
    CPPUNIT_TEST_SUITE_END();

    // All processes are restarted while the upstreams keep running, so no agent knows a flow. Guards against one copy of
    // the packet per agent: that was sixty times the callers' bytes on a balancer's link of 10 Mbit/s, and openings did not
    // get through although agents had capacity. A search costs one copy per data centre, whatever the number of agents.
    void copiesGrowWithDataCentresOnly()
    {
        for (const std::uint32_t agents : { 4U, 20U, 500U, 1500U }) {
            UnsureFleet fleet(3, agents);
            std::size_t copies = 0;
            for (std::uint32_t centre = 0; centre < 3; ++centre) {
                fleet.becomeUnsure(UnsureFleet::nameOf(centre));
                copies += copiesOf(fleet.probe(true));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, copies);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 3 } * agents, fleet.plan.probed.size());
        }
    }

    // Most flows are held in the data centre of their caller's balancer. While agents there may hold the flow, no other
    // agent gets a packet, so a typical search costs one copy.
    void nearAgentsComeFirst()
    {
        UnsureFleet fleet(3, 20);
        for (std::uint32_t centre = 0; centre < 3; ++centre)
            fleet.becomeUnsure(UnsureFleet::nameOf(centre));
        const std::vector<ProbeGroup> first = fleet.probe();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, first.size());
        CPPUNIT_ASSERT_EQUAL(std::string("dc0"), first.front().dataCentre);
        CPPUNIT_ASSERT(first.front().isForwarded);
        CPPUNIT_ASSERT(fleet.probe().empty());
        fleet.denyAll("dc0");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, copiesOf(fleet.probe()));
        CPPUNIT_ASSERT(fleet.probe().empty());
    }

    // The answer for another data centre arrives before that of the balancer's own one, whose agents are busier at that
    // moment.
    void remoteAgentsWaitForNearOnes()
    {
        UnsureFleet fleet(2, 8);
        fleet.becomeUnsure("dc1");
        CPPUNIT_ASSERT(fleet.probe().empty());
        fleet.becomeUnsure("dc0");
        CPPUNIT_ASSERT_EQUAL(std::string("dc0"), fleet.probe().front().dataCentre);
    }

    // The one agent that received the packet is stopped or overloaded. The flow may be in another data centre while its
    // caller waits.
    void silentDataCentreDoesNotDelayOthers()
    {
        UnsureFleet fleet(2, 8);
        fleet.becomeUnsure("dc0");
        fleet.becomeUnsure("dc1");
        fleet.probe();
        const std::vector<ProbeGroup> overdue = fleet.probe(true);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, overdue.size());
        CPPUNIT_ASSERT_EQUAL(std::string("dc1"), overdue.front().dataCentre);
    }

    // An upstream of another service holds the flow only if its route has changed since it was opened, but the flow counts
    // as lost only when the agents of that service have denied it too.
    void otherServicesComeLast()
    {
        UnsureFleet fleet(2, 2);
        fleet.becomeUnsure("dc0");
        fleet.becomeUnsure("dc1", false);
        CPPUNIT_ASSERT_EQUAL(std::string("dc0"), fleet.probe(true).front().dataCentre);
        CPPUNIT_ASSERT(fleet.probe(true).empty());
        fleet.denyAll("dc0");
        CPPUNIT_ASSERT_EQUAL(std::string("dc1"), fleet.probe().front().dataCentre);
    }

    // The agent that was to answer for its data centre does not answer in time, so each of the twenty agents is asked
    // directly, and they answer one after the other that they are unsure. Guards against twenty copies of the packet.
    void agentsUnsureOneByOneGetOnePacket()
    {
        UnsureFleet fleet(1, 20);
        std::size_t copies = 0;
        for (const std::uint32_t agent : fleet.asked["dc0"]) {
            fleet.becomeUnsure(agent, "dc0");
            copies += copiesOf(fleet.probe(true));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, copies);
        CPPUNIT_ASSERT(wasProbed(fleet.plan, fleet.asked["dc0"].back()));
    }

    // With three agents in a data centre a copy for each of them costs no more than forwarding.
    void fewAgentsAreProbedDirectly()
    {
        UnsureFleet fleet(1, 3);
        fleet.becomeUnsure("dc0");
        const std::vector<ProbeGroup> groups = fleet.probe();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, groups.size());
        CPPUNIT_ASSERT(!groups.front().isForwarded);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, groups.front().members.size());
    }

    // Guards against a packet that is copied to forty agents because two of them have not denied the flow, and against the
    // later one of the two never receiving it.
    void lastOpenAgentsOfALargeCentreAreProbedDirectly()
    {
        UnsureFleet fleet(1, 40);
        const std::uint32_t first = fleet.asked["dc0"][7];
        const std::uint32_t second = fleet.asked["dc0"][9];
        for (const std::uint32_t agent : fleet.asked["dc0"]) {
            if (agent != first && agent != second)
                recordAnswer(fleet.search, agent, HolderAnswer::NotHeld);
        }
        for (const std::uint32_t agent : { first, second }) {
            fleet.becomeUnsure(agent, "dc0");
            const std::vector<ProbeGroup> groups = fleet.probe();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, groups.size());
            CPPUNIT_ASSERT(!groups.front().isForwarded && groups.front().members == std::vector { agent });
        }
    }

    // Guards against a whole data centre counting as unsure because two processes disagree about one of its agents. Agent 5
    // is unknown to the one that was asked, agent 6 is silent, agent 9 is known to it only, agent 4 was unsure and denies
    // the flow now.
    void disagreementLeavesOnlyOneAgentUndecided()
    {
        const std::vector<std::uint32_t> members { 1, 2, 3, 4, 5, 6 };
        HolderSearch search = beginSearch(members, 1000);
        recordAnswer(search, 4, HolderAnswer::Unsure);
        const std::vector<std::uint32_t> denied { 1, 2, 3, 4 };
        const std::vector<std::uint32_t> open { 6, 9 };
        const DelegatedAnswer answer = classifyDelegatedAnswer(search, members, { .denied = denied, .open = open });
        CPPUNIT_ASSERT(answer.denied == denied);
        CPPUNIT_ASSERT(answer.open == std::vector<std::uint32_t> { 6 });
        CPPUNIT_ASSERT(answer.unknown == std::vector<std::uint32_t> { 5 });
        addMissingAgents(search, open);
        for (const std::uint32_t agent : answer.denied)
            recordAnswer(search, agent, HolderAnswer::NotHeld);
        CPPUNIT_ASSERT(agentsWithoutDenial(search) == (std::vector<std::uint32_t> { 5, 6, 9 }));
        CPPUNIT_ASSERT(recordAnswer(search, 5, HolderAnswer::NotHeld) == SearchState::Asking);
        CPPUNIT_ASSERT(recordAnswer(search, 6, HolderAnswer::NotHeld) == SearchState::Asking);
        CPPUNIT_ASSERT(recordAnswer(search, 9, HolderAnswer::NotHeld) == SearchState::HeldByNobody);
    }

    // A data centre with more agents than an answer can name, two of which are unsure. Guards against searches there that can
    // never be certain, so that callers of lost flows wait for their deadlines.
    void largeDataCentreCanDenyAFlow()
    {
        for (const std::uint32_t size : { 140U, 300U, 1000U }) {
            std::vector<std::uint32_t> members;
            DelegatedAnswer complete;
            for (std::uint32_t agent = 1; agent <= size; ++agent) {
                members.push_back(agent);
                (agent % 100 == 0 && agent <= 200 ? complete.open : complete.denied).push_back(agent);
            }
            const DelegatedAnswer sent = shortenAnswer(complete, true);
            CPPUNIT_ASSERT(sent.denied.size() + sent.open.size() <= maxAgentsInAnswer);
            HolderSearch search = beginSearch(members, 1000);
            const DelegatedAnswer answer = classifyDelegatedAnswer(search, members, sent);
            CPPUNIT_ASSERT(answer.denied == complete.denied && answer.open == complete.open && answer.unknown.empty());
            // While the directories differ, an agent that is not named may be one that was not asked.
            const bool isNamed = size <= maxAgentsInAnswer;
            CPPUNIT_ASSERT_EQUAL(isNamed, classifyDelegatedAnswer(search, members, shortenAnswer(complete, false)).unknown.empty());
        }
        DelegatedAnswer unsure { .denied = { 1 } };
        for (std::uint32_t agent = 2; agent <= 300; ++agent)
            unsure.open.push_back(agent);
        CPPUNIT_ASSERT(shortenAnswer(unsure, true).open.empty() && !shortenAnswer(unsure, true).haveOthersDenied);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestProbePlan);
