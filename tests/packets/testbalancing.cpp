#include "libdecision/agentchoice.h"
#include "libdecision/holdersearch.h"
#include "packetfixtures.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace kingcuptrail;

class TestBalancing : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestBalancing);
    CPPUNIT_TEST(nearAgentIsPreferredWhileItHasCapacity);
    CPPUNIT_TEST(silentAgentComesLast);
    CPPUNIT_TEST(equalAgentsShareFlows);
    CPPUNIT_TEST(hashNamesTheHolder);
    CPPUNIT_TEST(flowIsLostOnlyWhenAllAgentsDeny);
    CPPUNIT_TEST(agentsLearntDuringTheSearchAreAsked);
    CPPUNIT_TEST(holderEndsTheSearch);
    CPPUNIT_TEST(lateHeldAnswerCounts);
    CPPUNIT_TEST(unsureAgentsCountAsUnanswered);
    CPPUNIT_TEST(higherEpochWins);
    CPPUNIT_TEST(agentsAreListedUnderTheirService);
    CPPUNIT_TEST(listingOfAGoneAgentIsStale);
    CPPUNIT_TEST(agentsDigestIgnoresBalancersAndEpochs);
    CPPUNIT_TEST(weightsShareFlows);
    CPPUNIT_TEST_SUITE_END();

    static AgentCandidate candidate(std::uint32_t address, bool isNear, std::uint32_t atWork)
    {
        return { .address = address, .isNear = isNear, .load = { .atWork = atWork, .slots = 5, .usual = static_cast<float>(atWork) / 5 } };
    }

    static std::uint32_t best(const std::vector<AgentCandidate>& candidates)
    {
        return chooseAgents(flowOf(1), candidates, {}, 0).front();
    }

    void nearAgentIsPreferredWhileItHasCapacity()
    {
        CPPUNIT_ASSERT_EQUAL(1U, best({ candidate(1, true, 1), candidate(2, false, 0) }));
        CPPUNIT_ASSERT_EQUAL(2U, best({ candidate(1, true, 4), candidate(2, false, 0) }));
        CPPUNIT_ASSERT_EQUAL(2U, best({ candidate(1, true, 5), candidate(2, false, 4) }));
    }

    void silentAgentComesLast()
    {
        AgentCandidate silent = candidate(1, true, 0);
        silent.load.unanswered = 1;
        AgentCandidate refusing = candidate(2, true, 0);
        refusing.load.refusesUntil = 50;
        const auto order = chooseAgents(flowOf(1), std::vector { silent, refusing, candidate(3, false, 50) }, {}, 10);
        CPPUNIT_ASSERT((order == std::vector<std::uint32_t> { 3, 2, 1 }));
    }

    void equalAgentsShareFlows()
    {
        std::map<std::uint32_t, int> chosen;
        for (std::uint16_t caller = 0; caller < 3000; ++caller)
            ++chosen[chooseAgents(flowOf(caller), std::vector { candidate(1, false, 0), candidate(2, false, 0), candidate(3, false, 0) }, {}, 0).front()];
        for (const auto& [agent, flows] : chosen)
            CPPUNIT_ASSERT(flows > 850 && flows < 1150);
    }

    // Guards against a search that asks first agents at which the flow was not opened: it would cost a message for each agent
    // of the fleet. Every fourth upstream has answered a request lately, as on a fleet that is sized for its peak.
    void hashNamesTheHolder()
    {
        std::vector<AgentCandidate> candidates;
        std::vector<std::uint32_t> near;
        for (std::uint32_t address = 1; address <= 544; ++address) {
            AgentCandidate agent { .address = address, .isNear = address <= 110, .load = { .slots = 2, .usual = address % 4 == 0 ? 0.1F : 0.0F } };
            candidates.push_back(agent);
            if (address <= 110)
                near.push_back(address);
        }
        unsigned first = 0;
        unsigned amongThree = 0;
        constexpr unsigned flows = 1000;
        for (std::uint16_t caller = 0; caller < flows; ++caller) {
            // Another opening went to one agent since its last report.
            candidates[caller % 110].load.sentSinceReport = 1;
            const std::uint32_t holder = chooseAgents(flowOf(caller), candidates, {}, 0).front();
            candidates[caller % 110].load.sentSinceReport = 0;
            const std::vector<std::uint32_t> likely = likelyHolders(flowOf(caller), near, 3);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, likely.size());
            first += likely.front() == holder ? 1 : 0;
            amongThree += std::ranges::find(likely, holder) != likely.end() ? 1 : 0;
        }
        CPPUNIT_ASSERT(first >= flows * 9 / 10);
        CPPUNIT_ASSERT(amongThree >= flows * 99 / 100);
        CPPUNIT_ASSERT(likelyHolders(flowOf(1), {}, 3).empty());
    }

    // A balancer searches for a flow whose agent is cut off, and the other agents deny the flow. Guards against a reset of
    // a flow that its upstream still holds.
    void flowIsLostOnlyWhenAllAgentsDeny()
    {
        HolderSearch search = beginSearch({ 1, 2, 3 }, 0);
        CPPUNIT_ASSERT(recordAnswer(search, 1, HolderAnswer::NotHeld) == SearchState::Asking);
        CPPUNIT_ASSERT(recordAnswer(search, 2, HolderAnswer::Unsure) == SearchState::Asking);
        CPPUNIT_ASSERT(recordAnswer(search, 9, HolderAnswer::NotHeld) == SearchState::Asking);
        CPPUNIT_ASSERT(recordAnswer(search, 2, HolderAnswer::NotHeld) == SearchState::Asking);
        CPPUNIT_ASSERT(recordAnswer(search, 3, HolderAnswer::NotHeld) == SearchState::HeldByNobody);
        HolderSearch nobody = beginSearch({}, 0);
        CPPUNIT_ASSERT(nobody.state == SearchState::Asking);
    }

    // A restarted balancer gets a packet after 12 ms, when it knows one agent, which denies the flow. Guards against a
    // reset when the list of agents is complete by the time of that answer although the holder was never asked.
    void agentsLearntDuringTheSearchAreAsked()
    {
        HolderSearch search = beginSearch({ 1 }, 0);
        CPPUNIT_ASSERT(recordAnswer(search, 1, HolderAnswer::NotHeld) == SearchState::HeldByNobody);
        const std::vector<std::uint32_t> agents { 1, 2, 3 };
        CPPUNIT_ASSERT((addMissingAgents(search, agents) == std::vector<std::uint32_t> { 2, 3 }));
        CPPUNIT_ASSERT(recordAnswer(search, 2, HolderAnswer::NotHeld) == SearchState::Asking);
        CPPUNIT_ASSERT(recordAnswer(search, 3, HolderAnswer::Held) == SearchState::Found);
        CPPUNIT_ASSERT_EQUAL(3U, search.holder);
        CPPUNIT_ASSERT(addMissingAgents(search, agents).empty());
    }

    void holderEndsTheSearch()
    {
        HolderSearch search = beginSearch({ 1, 2 }, 0);
        CPPUNIT_ASSERT(recordAnswer(search, 7, HolderAnswer::Held) == SearchState::Found);
        CPPUNIT_ASSERT_EQUAL(7U, search.holder);
        CPPUNIT_ASSERT(recordAnswer(search, 1, HolderAnswer::NotHeld) == SearchState::Found);
    }

    // All agents that were asked have denied the flow, and the search waits for a peer to confirm the list of agents.
    // Guards against ignoring the holder, which had been presumed gone and answers now.
    void lateHeldAnswerCounts()
    {
        HolderSearch search = beginSearch({ 1, 2 }, 0);
        recordAnswer(search, 1, HolderAnswer::NotHeld);
        CPPUNIT_ASSERT(recordAnswer(search, 2, HolderAnswer::NotHeld) == SearchState::HeldByNobody);
        CPPUNIT_ASSERT(recordAnswer(search, 3, HolderAnswer::Unsure) == SearchState::HeldByNobody);
        CPPUNIT_ASSERT(recordAnswer(search, 3, HolderAnswer::Held) == SearchState::Found);
        CPPUNIT_ASSERT_EQUAL(3U, search.holder);
    }

    // Hosts are removed while all processes are being restarted. A neighbour that is unsure answers for their agents, and
    // these are sent the packet but never answer. Guards against treating them as unsure for good: their silence went
    // unnoticed, and each search waited for them.
    void unsureAgentsCountAsUnanswered()
    {
        HolderSearch search = beginSearch({ 1, 2, 3 }, 0);
        recordAnswer(search, 1, HolderAnswer::Unsure);
        recordAnswer(search, 2, HolderAnswer::NotHeld);
        CPPUNIT_ASSERT((agentsWithoutDenial(search) == std::vector<std::uint32_t> { 3, 1 }));
        recordAnswer(search, 1, HolderAnswer::NotHeld);
        CPPUNIT_ASSERT((agentsWithoutDenial(search) == std::vector<std::uint32_t> { 3 }));
    }

    void higherEpochWins()
    {
        Directory directory;
        CPPUNIT_ASSERT(applyEntry(directory, { .name = "a", .address = 1, .epoch = 5 }));
        const std::uint64_t digest = digestOf(directory);
        CPPUNIT_ASSERT(!applyEntry(directory, { .name = "a", .address = 2, .epoch = 5 }));
        CPPUNIT_ASSERT_EQUAL(digest, digestOf(directory));
        CPPUNIT_ASSERT(applyEntry(directory, { .name = "a", .address = 2, .state = PeerState::Gone, .epoch = 6 }));
        CPPUNIT_ASSERT(digest != digestOf(directory));
        CPPUNIT_ASSERT(!findByAddress(directory, 2));
    }

    // An agent changes its service, drains and comes back. Guards against a balancer that lists it under the old service:
    // openings sent there can only be refused, which costs callers a round trip.
    void agentsAreListedUnderTheirService()
    {
        Directory directory;
        applyEntry(directory, { .name = "a", .address = 1, .service = "board", .epoch = 1 });
        applyEntry(directory, { .name = "b", .address = 2, .service = "board", .epoch = 1 });
        applyEntry(directory, { .name = "front", .role = PeerRole::Balancer, .address = 3, .epoch = 1 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, readyAgentsOf(directory, "board").size());
        applyEntry(directory, { .name = "a", .address = 1, .service = "intake", .epoch = 2 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, readyAgentsOf(directory, "board").size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), readyAgentsOf(directory, "intake").front()->name);
        applyEntry(directory, { .name = "a", .address = 1, .service = "intake", .state = PeerState::Draining, .epoch = 3 });
        CPPUNIT_ASSERT(readyAgentsOf(directory, "intake").empty());
        CPPUNIT_ASSERT(!applyEntry(directory, { .name = "a", .address = 1, .service = "intake", .epoch = 2 }));
        CPPUNIT_ASSERT(readyAgentsOf(directory, "intake").empty());
        applyEntry(directory, { .name = "a", .address = 1, .service = "intake", .epoch = 4 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, readyAgentsOf(directory, "intake").size());
    }

    // The store rejects a leaving agent's requests until its process has to end, so its announcement stays although its
    // peers know that it is gone. Guards against processes that start later and rely on it. An announcement that was
    // written again since then counts.
    void listingOfAGoneAgentIsStale()
    {
        Directory directory;
        PeerEntry listed { .name = "a", .address = 1, .service = "board", .epoch = 5 };
        applyEntry(directory, listed);
        CPPUNIT_ASSERT(!isStaleListing(directory, listed));
        applyEntry(directory, { .name = "a", .address = 1, .service = "board", .state = PeerState::Gone, .epoch = 6 });
        CPPUNIT_ASSERT(isStaleListing(directory, listed));
        listed.epoch = 7;
        CPPUNIT_ASSERT(!isStaleListing(directory, listed));
        CPPUNIT_ASSERT(!isStaleListing(directory, { .name = "b", .epoch = 1 }));
    }

    void weightsShareFlows()
    {
        RouteTable table = routesTo("board", 1);
        table.routes.front().shares = { { .service = "board", .weight = 90 }, { .service = "intake", .weight = 10 } };
        int intake = 0;
        for (std::uint16_t caller = 0; caller < 5000; ++caller)
            intake += *serviceForFlow(table, flowOf(caller)) == "intake" ? 1 : 0;
        CPPUNIT_ASSERT(intake > 400 && intake < 600);
        CPPUNIT_ASSERT(allowsService(table, flowOf(1).service, "intake"));
        CPPUNIT_ASSERT(!allowsService(table, { .address = 1, .port = 1 }, "intake"));
        CPPUNIT_ASSERT(!serviceForFlow(table, { .caller = {}, .service = { .address = 1, .port = 1 } }));
    }

    // After a power failure processes learn of each other step by step. The agents to ask about a flow are the same in two
    // directories long before these are equal: balancers, epochs and agents that are gone don't count.
    void agentsDigestIgnoresBalancersAndEpochs()
    {
        const PeerEntry agent { .name = "agent-1", .address = 1, .dataCentre = "north", .epoch = 5 };
        Directory one;
        applyEntry(one, agent);
        Directory other = one;
        applyEntry(other, { .name = "front-1", .role = PeerRole::Balancer, .address = 9, .dataCentre = "north", .epoch = 1 });
        PeerEntry again = agent;
        again.epoch = 6;
        again.state = PeerState::Draining;
        applyEntry(other, again);
        CPPUNIT_ASSERT(digestOf(one) != digestOf(other));
        CPPUNIT_ASSERT_EQUAL(agentsDigestOf(one), agentsDigestOf(other));

        applyEntry(other, { .name = "agent-2", .address = 2, .dataCentre = "south", .epoch = 1 });
        CPPUNIT_ASSERT(agentsDigestOf(one) != agentsDigestOf(other));
        CPPUNIT_ASSERT_EQUAL(agentsDigestOf(one, "north", {}), agentsDigestOf(other, "north", {}));
        const std::vector<std::uint32_t> excluded { 2 };
        CPPUNIT_ASSERT_EQUAL(agentsDigestOf(one, "south", {}), agentsDigestOf(other, "south", excluded));
        applyEntry(other, { .name = "agent-2", .address = 2, .dataCentre = "south", .state = PeerState::Gone, .epoch = 2 });
        CPPUNIT_ASSERT_EQUAL(agentsDigestOf(one), agentsDigestOf(other));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestBalancing);
