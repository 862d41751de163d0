#include "libdecision/datacentrehealth.h"
#include "libdecision/holdersearch.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <utility>

using namespace kingcuptrail;

namespace {

/// One balancer's data centre health in a simulated fleet. Agents answer pings after 3 ms; every data centre also sends
/// gossip, 1.3 messages a second, as each of three data centres does to a balancer in a fleet of any size.
struct SimulatedFleet {
    struct Place {
        bool isReachable = true;
        bool gossips = true;
        std::uint32_t reroutedCallers = 0;
    };

    SimulatedFleet(const std::vector<std::string>& names, std::uint32_t agentsEach, std::size_t tolerated = 1)
    {
        health.options.toleratedLosses = tolerated;
        health.ownDataCentre = names.front();
        std::uint32_t address = 1;
        for (const std::string& name : names) {
            places[name] = {};
            for (std::uint32_t index = 0; index < agentsEach; ++index, ++address)
                applyEntry(directory, { .name = name + std::to_string(index), .address = address, .dataCentre = name, .service = "board", .epoch = 1 });
        }
    }

    bool isDelivered() { return std::uniform_real_distribution()(random) >= loss; }

    void send(const std::string& name, Millis arrivesAt)
    {
        if (places[name].isReachable && isDelivered())
            arriving.emplace_back(arrivesAt, name);
    }

    void sendPings()
    {
        for (const std::uint32_t agent : pingsDue(health, directory, random(), now)) {
            const std::string& name = findByAddress(directory, agent)->dataCentre;
            ++pings;
            recordPing(health, name, agent, now);
            if (isDelivered() && std::ranges::find(missingAgents, agent) == missingAgents.end())
                send(name, now + 3);
        }
    }

    void tick()
    {
        constexpr double gossipPerTick = 0.026;
        for (auto& [name, place] : places) {
            if (place.gossips && std::uniform_real_distribution()(random) < gossipPerTick)
                send(name, now);
            for (std::uint32_t caller = 0; caller < place.reroutedCallers; ++caller)
                recordReroutedCaller(health, name, caller, now);
        }
        for (const auto& [arrivesAt, name] : std::exchange(arriving, {}))
            recordHeard(health, name, arrivesAt);
        sendPings();
        for (DataCentreChange& change : updateStates(health, now))
            changes.push_back(std::move(change));
        now += 20;
    }

    void run(Millis duration)
    {
        for (const Millis end = now + duration; now < end;)
            tick();
    }

    /// The time until the data centre is in this state; fails after five seconds.
    Millis timeUntil(const std::string& name, DataCentreState state)
    {
        const Millis start = now;
        while (stateOf(health, name) != state && now - start < 5000)
            tick();
        CPPUNIT_ASSERT_EQUAL(nameOf(state), nameOf(stateOf(health, name)));
        return now - start;
    }

    bool wasEver(DataCentreState state) const { return std::ranges::find(changes, state, &DataCentreChange::to) != changes.end(); }

    DataCentreHealth health;
    Directory directory;
    std::map<std::string, Place> places;
    std::vector<std::uint32_t> missingAgents;
    std::vector<std::pair<Millis, std::string>> arriving;
    std::vector<DataCentreChange> changes;
    std::minstd_rand random { 7 };
    double loss = 0;
    std::size_t pings = 0;
    Millis now = 100000;
};

}

class TestDataCentreHealth : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestDataCentreHealth);
    CPPUNIT_TEST(dataCentreWithoutPowerIsLostWhileCallersWait);
    CPPUNIT_TEST(sixPingsToFourAgentsMustBeUnanswered);
    CPPUNIT_TEST(frozenHostAndDataCentreComeBackWithFlows);
    CPPUNIT_TEST(dataCentresThatCannotSeeEachOtherAreNotLost);
    CPPUNIT_TEST(isolatedBalancerMarksNothing);
    CPPUNIT_TEST(pausedProcessMarksNothing);
    CPPUNIT_TEST(restartOfEverythingWithMissingHosts);
    CPPUNIT_TEST(moreSilentDataCentresThanTolerated);
    CPPUNIT_TEST(lossyLinksMakeNothingSilent);
    CPPUNIT_TEST(removedDataCentreIsNoLoss);
    CPPUNIT_TEST(forgedCallersBeforeSilenceDoNothing);
    CPPUNIT_TEST(earlierVersionThatOnlyAnswersPings);
    CPPUNIT_TEST(messagesDoNotGrowWithTheFleet);
    CPPUNIT_TEST(searchEndsWithoutLostAgents);
    CPPUNIT_TEST_SUITE_END();

    // A data centre loses power and its callers arrive here from 1 s on. Guards against callers that wait for a deadline of
    // 2 s because the loss is noticed late or never.
    void dataCentreWithoutPowerIsLostWhileCallersWait()
    {
        for (const std::vector<std::string>& names : { std::vector<std::string> { "a", "b" }, { "a", "b", "c" } }) {
            SimulatedFleet fleet(names, 19);
            fleet.run(5000);
            fleet.places["b"].isReachable = false;
            const Millis start = fleet.now;
            CPPUNIT_ASSERT(fleet.timeUntil("b", DataCentreState::Silent) <= 900);
            fleet.run(start + 1000 - fleet.now);
            fleet.places["b"].reroutedCallers = 2;
            fleet.run(1000);
            CPPUNIT_ASSERT(!fleet.wasEver(DataCentreState::Lost));
            fleet.places["b"].reroutedCallers = 3;
            CPPUNIT_ASSERT(fleet.timeUntil("b", DataCentreState::Lost) <= 20);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, fleet.changes.back().reroutedCallers);
        }
    }

    // Guards against a verdict by one agent that does not answer, by too few pings, or by pings whose answers are on the way.
    void sixPingsToFourAgentsMustBeUnanswered()
    {
        const auto stateAfter = [](const std::vector<std::uint32_t>& agents, Millis age) {
            DataCentreHealth health { .options = { .toleratedLosses = 1 }, .ownDataCentre = "a" };
            recordHeard(health, "b", 0);
            recordHeard(health, "c", 1000);
            health.dataCentres.at("b").knownAgents = 7;
            for (const std::uint32_t agent : agents)
                recordPing(health, "b", agent, 1000 - age);
            updateStates(health, 1000);
            return stateOf(health, "b");
        };
        CPPUNIT_ASSERT(stateAfter({ 1, 1, 1, 2, 2, 3 }, 60) == DataCentreState::Reachable);
        CPPUNIT_ASSERT(stateAfter({ 1, 2, 3, 4, 5 }, 60) == DataCentreState::Reachable);
        CPPUNIT_ASSERT(stateAfter({ 1, 2, 3, 4, 5, 6 }, 59) == DataCentreState::Reachable);
        CPPUNIT_ASSERT(stateAfter({ 1, 2, 3, 4, 1, 2 }, 60) == DataCentreState::Silent);
    }

    // Guards against the loss of flows that a frozen host, or a whole frozen data centre, still holds when it wakes.
    void frozenHostAndDataCentreComeBackWithFlows()
    {
        SimulatedFleet fleet({ "a", "b", "c" }, 6);
        fleet.missingAgents = { 7 };
        fleet.run(20000);
        CPPUNIT_ASSERT(fleet.changes.empty());
        fleet.places["b"].isReachable = false;
        fleet.run(20000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fleet.changes.size());
        fleet.places["b"].reroutedCallers = 3;
        fleet.timeUntil("b", DataCentreState::Lost);
        fleet.places["b"].isReachable = true;
        CPPUNIT_ASSERT(fleet.timeUntil("b", DataCentreState::Reachable) <= 140);
        CPPUNIT_ASSERT(fleet.changes.back().cause == DataCentreChangeCause::Message && fleet.changes.back().sinceHeard > 20000);
    }

    // The link between two data centres is cut for a minute while both serve their callers. Guards against resets of flows
    // that the other data centre holds, when single callers arrive here because they moved.
    void dataCentresThatCannotSeeEachOtherAreNotLost()
    {
        SimulatedFleet fleet({ "a", "b", "c" }, 19);
        fleet.run(2000);
        fleet.places["b"].isReachable = false;
        for (std::uint32_t caller = 0; caller < 200; ++caller) {
            recordReroutedCaller(fleet.health, "b", caller, fleet.now);
            fleet.run(300);
        }
        CPPUNIT_ASSERT(stateOf(fleet.health, "b") == DataCentreState::Silent && stateOf(fleet.health, "c") == DataCentreState::Reachable);
        CPPUNIT_ASSERT(!fleet.wasEver(DataCentreState::Lost));
    }

    // A balancer, or its whole data centre, receives nothing for ten seconds. Guards against a balancer that takes every
    // other data centre to be lost, then or with the first message after that, and resets their callers.
    void isolatedBalancerMarksNothing()
    {
        for (const std::vector<std::string>& names : { std::vector<std::string> { "a", "b" }, { "a", "b", "c" }, { "a", "b", "c", "d" } }) {
            SimulatedFleet fleet(names, 19, 3);
            fleet.run(2000);
            for (auto& [name, place] : fleet.places)
                place = { .isReachable = name == "a" && names.size() > 2, .reroutedCallers = 5 };
            fleet.run(10000);
            for (auto& [name, place] : fleet.places)
                place.isReachable = true;
            recordHeard(fleet.health, names.back(), fleet.now);
            fleet.run(2000);
            CPPUNIT_ASSERT(fleet.changes.empty());
        }
    }

    // Guards against a process that was stopped with pings in flight and takes the time until it runs again for silence, and
    // against a tick that judges before the answers in the socket were read.
    void pausedProcessMarksNothing()
    {
        for (const Millis pause : { 180, 900, 60000 }) {
            SimulatedFleet fleet({ "a", "b", "c" }, 19);
            fleet.run(2000);
            fleet.places["b"].isReachable = false;
            recordHeard(fleet.health, "b", fleet.now);
            fleet.run(440);
            CPPUNIT_ASSERT(stateOf(fleet.health, "b") == DataCentreState::Reachable);
            fleet.now += pause;
            recordHeard(fleet.health, "c", fleet.now);
            // After a long pause the time of silence starts again.
            if (pause >= 900)
                fleet.run(300);
            fleet.places["b"].isReachable = true;
            fleet.run(5000);
            CPPUNIT_ASSERT(fleet.changes.empty());
        }
        SimulatedFleet fleet({ "a", "b", "c" }, 19);
        fleet.run(2000);
        fleet.places["b"].isReachable = false;
        fleet.timeUntil("b", DataCentreState::Silent);
        resetAll(fleet.health, fleet.now);
        fleet.tick();
        CPPUNIT_ASSERT(fleet.changes.back().to == DataCentreState::Reachable && fleet.changes.back().cause == DataCentreChangeCause::Reset);
    }

    // After a restart of everything three of seven hosts, or seven of ten, of a data centre and all of another are missing
    // but still in the directory. Guards against a process that judges data centres before it has heard them, and against
    // one that pings the same missing hosts again.
    void restartOfEverythingWithMissingHosts()
    {
        for (const std::uint32_t hosts : { 7U, 10U }) {
            SimulatedFleet fleet({ "a", "b", "c" }, hosts);
            for (std::uint32_t missing = hosts == 7 ? 3 : 7; missing > 0; --missing)
                fleet.missingAgents.push_back(hosts + missing);
            fleet.places["c"] = { .isReachable = false, .reroutedCallers = 5 };
            fleet.run(60000);
            CPPUNIT_ASSERT(fleet.changes.empty());
        }
    }

    // Two of four data centres are silent while one loss is tolerated. Guards against a fault of the network between data
    // centres that is taken for a loss of both.
    void moreSilentDataCentresThanTolerated()
    {
        SimulatedFleet fleet({ "a", "b", "c", "d" }, 19);
        fleet.run(2000);
        fleet.places["b"] = fleet.places["c"] = { .isReachable = false, .reroutedCallers = 2 };
        fleet.run(30000);
        fleet.places["b"].reroutedCallers = 5;
        fleet.run(2000);
        CPPUNIT_ASSERT(!fleet.wasEver(DataCentreState::Lost));
    }

    // One of a hundred messages is lost for 40 minutes in a fleet of 300 hosts. Guards against openings that avoid a data
    // centre for a few lost pings.
    void lossyLinksMakeNothingSilent()
    {
        SimulatedFleet fleet({ "a", "b", "c" }, 100);
        fleet.loss = 0.01;
        fleet.run(Millis { 40 } * 60 * 1000);
        CPPUNIT_ASSERT(fleet.changes.empty() && fleet.pings > 1000);
    }

    // A lost data centre is given up and its entries are removed. Guards against a loss that counts for ever, so that the next
    // one is more than is tolerated.
    void removedDataCentreIsNoLoss()
    {
        SimulatedFleet fleet({ "a", "b", "c", "d" }, 5);
        fleet.run(2000);
        fleet.places["b"].isReachable = false;
        fleet.timeUntil("b", DataCentreState::Silent);
        for (std::uint32_t agent = 6; agent <= 10; ++agent)
            applyEntry(fleet.directory, { .name = std::string("b").append(std::to_string(agent - 6)), .address = agent, .dataCentre = "b", .state = PeerState::Gone, .epoch = 2 });
        CPPUNIT_ASSERT(fleet.timeUntil("b", DataCentreState::Reachable) <= 120);
        fleet.places["c"].isReachable = false;
        fleet.timeUntil("c", DataCentreState::Silent);
    }

    // Guards against packets from forged addresses that are collected in advance and make a cut-off data centre lost.
    void forgedCallersBeforeSilenceDoNothing()
    {
        SimulatedFleet fleet({ "a", "b", "c" }, 19);
        fleet.run(2000);
        for (std::uint32_t caller = 0; caller < 100000; ++caller)
            recordReroutedCaller(fleet.health, "b", caller, fleet.now);
        recordReroutedCaller(fleet.health, "nowhere", 1, fleet.now);
        fleet.places["b"].isReachable = false;
        fleet.timeUntil("b", DataCentreState::Silent);
        fleet.run(5000);
        CPPUNIT_ASSERT(!fleet.wasEver(DataCentreState::Lost));
    }

    // Guards against taking processes of an earlier version, from which only answers to pings arrive, for silent ones.
    void earlierVersionThatOnlyAnswersPings()
    {
        SimulatedFleet fleet({ "a", "b", "c" }, 5);
        fleet.run(2000);
        fleet.places["b"].gossips = fleet.places["c"].gossips = false;
        fleet.run(600000);
        CPPUNIT_ASSERT(fleet.changes.empty());
    }

    // Guards against pings that grow with the fleet and fill a link of 10 Mbit/s just when callers return.
    void messagesDoNotGrowWithTheFleet()
    {
        std::vector<std::size_t> healthy;
        for (const std::uint32_t processes : { 30U, 100U, 300U }) {
            SimulatedFleet fleet({ "a", "b", "c" }, processes / 3);
            fleet.run(60000);
            healthy.push_back(fleet.pings);
            fleet.places["b"].isReachable = fleet.places["c"].gossips = false;
            fleet.run(2000);
            const std::size_t before = fleet.pings;
            fleet.run(10000);
            // Four every 100 ms to the silent data centre, and four every 320 ms to the one that only answers pings.
            CPPUNIT_ASSERT(fleet.pings - before >= 400 && fleet.pings - before <= 400 + 4 * 32);
        }
        CPPUNIT_ASSERT(healthy[0] == healthy[1] && healthy[1] == healthy[2]);
    }

    // Guards against a search that waits for the agents of a lost data centre, or forgets them when they come back.
    void searchEndsWithoutLostAgents()
    {
        HolderSearch search = beginSearch({ 1, 2, 3 }, 0);
        const std::vector<std::uint32_t> lost { 2, 3 };
        CPPUNIT_ASSERT(removeAgents(search, lost) == SearchState::Asking);
        CPPUNIT_ASSERT(recordAnswer(search, 1, HolderAnswer::NotHeld) == SearchState::HeldByNobody);
        CPPUNIT_ASSERT(addMissingAgents(search, lost) == lost && search.state == SearchState::Asking);
        CPPUNIT_ASSERT(removeAgents(search, lost) == SearchState::HeldByNobody);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDataCentreHealth);
