#include "libdecision/directory.h"
#include "libdecision/peerchoice.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace kingcuptrail;

class TestDirectory : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestDirectory);
    CPPUNIT_TEST(derivedFieldsFollowEveryChange);
    CPPUNIT_TEST(entryOfAReusedAddressIsNotOffered);
    CPPUNIT_TEST(randomAddressesAreDifferentAndFair);
    CPPUNIT_TEST(announcementReachesEveryDataCentre);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t names = 400;

    /// An announcement of one of `names` processes with a random state, place and address.
    static PeerEntry randomEntry(std::minstd_rand& random, std::uint64_t epoch)
    {
        const auto number = static_cast<std::uint32_t>(random() % names);
        return {
            .name = "process-" + std::to_string(number),
            .role = random() % 3 == 0 ? PeerRole::Balancer : PeerRole::Agent,
            .address = number / 2 + static_cast<std::uint32_t>(random() % 2) * 1000,
            .dataCentre = random() % 2 == 0 ? "north" : "south",
            .service = random() % 2 == 0 ? "board" : "filing",
            .state = static_cast<PeerState>(random() % 3),
            .epoch = epoch,
        };
    }

    static std::vector<std::uint32_t> sorted(std::vector<std::uint32_t> addresses)
    {
        std::ranges::sort(addresses);
        return addresses;
    }

    template <typename Predicate>
    static std::vector<std::uint32_t> addressesWhere(const Directory& directory, Predicate isWanted)
    {
        std::vector<std::uint32_t> addresses;
        for (const auto& [name, entry] : directory.entries) {
            if (isWanted(entry))
                addresses.push_back(entry.address);
        }
        return sorted(std::move(addresses));
    }

    static void checkMembers(const Directory& directory, const std::string& dataCentre)
    {
        const DataCentreMembers& members = membersOf(directory, dataCentre);
        CPPUNIT_ASSERT(sorted(members.peers) == addressesWhere(directory, [&](const PeerEntry& entry) { return entry.state != PeerState::Gone && entry.dataCentre == dataCentre; }));
        CPPUNIT_ASSERT(sorted(members.readyBalancers) == addressesWhere(directory, [&](const PeerEntry& entry) { return entry.role == PeerRole::Balancer && entry.state == PeerState::Ready && entry.dataCentre == dataCentre; }));
        CPPUNIT_ASSERT(sorted(members.allAgents) == addressesWhere(directory, [&](const PeerEntry& entry) { return mayHoldFlows(entry) && entry.dataCentre == dataCentre; }));
        for (const std::string service : { "board", "filing" }) {
            const auto found = members.agents.find(service);
            const std::vector<std::uint32_t> agents = found != members.agents.end() ? sorted(found->second) : std::vector<std::uint32_t> {};
            CPPUNIT_ASSERT(agents == addressesWhere(directory, [&](const PeerEntry& entry) { return mayHoldFlows(entry) && entry.dataCentre == dataCentre && entry.service == service; }));
        }
        // A directory that has learnt the same entries at once has the same digests.
        const std::vector<std::uint32_t> excluded { 3, 1003, 3 };
        Directory other;
        for (const auto& [name, entry] : directory.entries) {
            if (std::ranges::find(excluded, entry.address) == excluded.end())
                applyEntry(other, entry);
        }
        CPPUNIT_ASSERT_EQUAL(agentsDigestOf(other, dataCentre, {}), agentsDigestOf(directory, dataCentre, excluded));
    }

    // Guards against openings that are offered to an address for the service that its former host had.
    void entryOfAReusedAddressIsNotOffered()
    {
        Directory directory;
        PeerEntry former { .name = "a", .address = 1, .dataCentre = "north", .service = "board", .epoch = 10 };
        PeerEntry next { .name = "b", .address = 1, .dataCentre = "north", .service = "filing", .epoch = 20 };
        applyEntry(directory, next);
        applyEntry(directory, former);
        CPPUNIT_ASSERT(readyAgentsOf(directory, "board").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, readyAgentsOf(directory, "filing").size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), findByAddress(directory, 1)->name);
        next.state = PeerState::Gone;
        next.epoch = 21;
        applyEntry(directory, next);
        CPPUNIT_ASSERT(readyAgentsOf(directory, "board").empty());
        // The former name is announced again, by a process that knows the epoch of the other.
        former.epoch = lastEpochOf(directory, former) + 1;
        applyEntry(directory, former);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, readyAgentsOf(directory, "board").size());
    }

    // Guards against lists and digests that differ from the entries after a process has changed its state, place, role or
    // address: a search would miss agents, and directories that are equal would be compared again and again.
    void derivedFieldsFollowEveryChange()
    {
        std::minstd_rand random(7);
        Directory directory;
        for (std::uint64_t epoch = 1; epoch <= 3000; ++epoch)
            applyEntry(directory, randomEntry(random, epoch / 2));
        Directory other;
        for (const auto& [name, entry] : directory.entries)
            applyEntry(other, entry);
        CPPUNIT_ASSERT_EQUAL(digestOf(other), digestOf(directory));
        CPPUNIT_ASSERT_EQUAL(agentsDigestOf(other), agentsDigestOf(directory));
        CPPUNIT_ASSERT(other.bucketDigests == directory.bucketDigests);
        CPPUNIT_ASSERT(sorted(directory.peers) == addressesWhere(directory, [](const PeerEntry& entry) { return entry.state != PeerState::Gone; }));
        CPPUNIT_ASSERT_EQUAL(addressesWhere(directory, mayHoldFlows).size(), directory.agentCount);
        checkMembers(directory, "north");
        checkMembers(directory, "south");
        std::size_t before = 0;
        for (const auto& [name, entry] : directory.entries) {
            const bool isReadyBalancer = entry.role == PeerRole::Balancer && entry.state == PeerState::Ready;
            CPPUNIT_ASSERT_EQUAL(before, balancersBefore(directory, name));
            before += isReadyBalancer ? 1 : 0;
        }
        CPPUNIT_ASSERT(before > 0);
    }

    // Guards against gossip that reaches some peers seldom or never, or the sender itself.
    void randomAddressesAreDifferentAndFair()
    {
        std::minstd_rand random(7);
        for (const std::uint32_t size : { 1U, 2U, 5U, 50U, 5000U }) {
            std::vector<std::uint32_t> addresses(size);
            for (std::uint32_t index = 0; index < size; ++index)
                addresses[index] = index + 1;
            std::set<std::uint32_t> seen;
            for (std::uint32_t round = 0; round < 10 * size; ++round) {
                const std::vector<std::uint32_t> chosen = randomAddresses(addresses, 2, 1, random);
                CPPUNIT_ASSERT_EQUAL(std::min<std::size_t>(2, size - 1), chosen.size());
                CPPUNIT_ASSERT(chosen.size() < 2 || chosen[0] != chosen[1]);
                seen.insert(chosen.begin(), chosen.end());
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t { size } - 1, seen.size());
        }
    }

    // A fleet in five data centres. Guards against an announcement that many processes learn of only with a later round of
    // gossip, and against messages between data centres that grow with the fleet.
    void announcementReachesEveryDataCentre()
    {
        for (const std::uint32_t size : { 300U, 1000U, 2000U }) {
            Directory directory;
            for (std::uint32_t number = 0; number < size; ++number)
                applyEntry(directory, { .name = "agent-" + std::to_string(number), .address = number, .dataCentre = std::to_string(number % 5), .service = "board", .epoch = 1 });
            std::minstd_rand random(size);
            const std::vector<std::uint32_t> first = randomInEachDataCentre(directory, 2, 0, random);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 10 }, first.size());
            std::set<std::uint32_t> reached(first.begin(), first.end());
            std::vector<std::uint32_t> relaying(first.begin(), first.end());
            while (!relaying.empty()) {
                const std::uint32_t relay = relaying.back();
                relaying.pop_back();
                for (const std::uint32_t peer : randomAddresses(membersOf(directory, std::to_string(relay % 5)).allAgents, 2, relay, random)) {
                    if (reached.insert(peer).second)
                        relaying.push_back(peer);
                }
            }
            CPPUNIT_ASSERT(reached.size() >= size * 7 / 10);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDirectory);
