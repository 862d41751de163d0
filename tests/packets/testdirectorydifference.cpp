#include "libdecision/directorydifference.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace kingcuptrail;

class TestDirectoryDifference : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestDirectoryDifference);
    CPPUNIT_TEST(sameDirectoriesDifferInNothing);
    CPPUNIT_TEST(oneNewAgentCostsNoWholeDirectory);
    CPPUNIT_TEST(largeDifferenceIsNotSentPieceByPiece);
    CPPUNIT_TEST(digestsOfNoProcessDifferInNothing);
    CPPUNIT_TEST(startOfAllHostsIsAgreedOnSoon);
    CPPUNIT_TEST_SUITE_END();

    static PeerEntry agent(std::size_t number, std::uint64_t epoch = 1)
    {
        return { .name = "agent-" + std::to_string(number), .address = static_cast<std::uint32_t>(number), .dataCentre = "north", .service = "board", .epoch = epoch };
    }

    static Directory directoryOf(std::size_t size)
    {
        Directory directory;
        for (std::size_t number = 0; number < size; ++number)
            offerEntry(directory, agent(number));
        return directory;
    }

    static void takeAll(Directory& directory, const DirectoryDifference& difference)
    {
        for (const PeerEntry& entry : difference.entries)
            offerEntry(directory, entry);
    }

    void sameDirectoriesDifferInNothing()
    {
        for (const std::size_t size : { 0U, 5U, 300U, 5200U }) {
            const Directory directory = directoryOf(size);
            const DirectoryDifference difference = differenceTo(directory, partDigestsOf(directory));
            CPPUNIT_ASSERT(difference.entries.empty() && !difference.isLarge);
        }
    }

    // Guards against repairs whose cost grows with the fleet: fetches of whole directories filled slow links, and when they
    // were made less frequent the directories differed for seconds.
    void oneNewAgentCostsNoWholeDirectory()
    {
        for (const std::size_t size : { 20U, 300U, 5200U }) {
            Directory behind = directoryOf(size);
            Directory ahead = behind;
            offerEntry(ahead, agent(size));
            offerEntry(ahead, agent(3, 2));
            CPPUNIT_ASSERT(partDigestsOf(behind).size() * sizeof(std::uint32_t) <= 1024);
            takeAll(behind, differenceTo(ahead, partDigestsOf(behind)));
            CPPUNIT_ASSERT_EQUAL(digestOf(ahead), digestOf(behind));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, behind.entries.at("agent-3").epoch);
        }
    }

    void largeDifferenceIsNotSentPieceByPiece()
    {
        const Directory known = directoryOf(300);
        const DirectoryDifference difference = differenceTo(known, partDigestsOf(Directory {}));
        CPPUNIT_ASSERT(difference.isLarge && difference.entries.empty());
        const DirectoryDifference back = differenceTo(Directory {}, partDigestsOf(known));
        CPPUNIT_ASSERT(back.entries.empty() && !back.isLarge);
    }

    void digestsOfNoProcessDifferInNothing()
    {
        const Directory known = directoryOf(30);
        for (const std::size_t parts : { 0U, 3U, 512U, 100000U }) {
            const DirectoryDifference difference = differenceTo(known, std::vector<std::uint32_t>(parts));
            CPPUNIT_ASSERT(difference.entries.empty() && !difference.isLarge);
        }
    }

    struct Fleet {
        std::vector<Directory> members;
        std::minstd_rand random { 20261203 };
        DirectoryDifferenceOptions options;

        bool agrees() const
        {
            return std::ranges::all_of(members, [this](const Directory& member) { return digestOf(member) == digestOf(members.front()); });
        }

        bool isLost() { return random() % 100 == 0; }

        /// Applies the answer to one comparison; a large difference is fetched as a whole directory.
        void answer(Directory& receiver, const Directory& sender)
        {
            const DirectoryDifference difference = differenceTo(sender, partDigestsOf(receiver));
            if (difference.isLarge && !isLost()) {
                for (const auto& [name, entry] : sender.entries)
                    offerEntry(receiver, entry);
            }
            for (const PeerEntry& entry : difference.entries) {
                if (!isLost())
                    offerEntry(receiver, entry);
            }
        }

        void round()
        {
            for (Directory& member : members) {
                Directory& peer = members[random() % members.size()];
                if (digestOf(member) == digestOf(peer) || isLost())
                    continue;
                answer(member, peer);
                answer(peer, member);
            }
        }
    };

    // Guards against directories that stay different after a power failure: 300 processes start at once and each knows
    // itself and three seeds, three hosts don't come back and are known to a few processes from the store, and one of a
    // hundred messages is lost.
    void startOfAllHostsIsAgreedOnSoon()
    {
        constexpr std::size_t size = 300;
        Fleet fleet;
        fleet.members.resize(size);
        for (std::size_t number = 0; number < size; ++number) {
            for (const std::size_t known : { number, std::size_t { 0 }, std::size_t { 1 }, std::size_t { 2 } })
                offerEntry(fleet.members[number], agent(known, 2));
        }
        for (std::size_t missing = size; missing < size + 3; ++missing)
            offerEntry(fleet.members[missing % 7], agent(missing));
        constexpr Millis limit = 500;
        Millis passed = 0;
        while (!fleet.agrees() && passed <= limit) {
            fleet.round();
            passed += fleet.options.interval;
        }
        CPPUNIT_ASSERT(fleet.agrees());
        CPPUNIT_ASSERT(passed <= limit);
        CPPUNIT_ASSERT_EQUAL(size + 3, fleet.members.front().entries.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDirectoryDifference);
