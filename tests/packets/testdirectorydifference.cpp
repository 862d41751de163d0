#include "libdecision/directorydifference.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace kingcuptrail;

class TestDirectoryDifference : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestDirectoryDifference);
    CPPUNIT_TEST(equalDirectoriesGiveNoDifference);
    CPPUNIT_TEST(smallDifferenceNeedsNoWholeDirectory);
    CPPUNIT_TEST(largeDifferenceIsNotSentByEntries);
    CPPUNIT_TEST(invalidDigestsGiveNoDifference);
    CPPUNIT_TEST(directoriesConvergeAfterAPowerFailure);
    CPPUNIT_TEST_SUITE_END();

    static PeerEntry agent(std::size_t number, std::uint64_t epoch = 1)
    {
        return { .name = "agent-" + std::to_string(number), .address = static_cast<std::uint32_t>(number), .dataCentre = "north", .service = "board", .epoch = epoch };
    }

    static Directory directoryOf(std::size_t size)
    {
        Directory directory;
        for (std::size_t number = 0; number < size; ++number)
            applyEntry(directory, agent(number));
        return directory;
    }

    static void applyAll(Directory& directory, const DirectoryDifference& difference)
    {
        for (const PeerEntry& entry : difference.entries)
            applyEntry(directory, entry);
    }

    void equalDirectoriesGiveNoDifference()
    {
        for (const std::size_t size : { 0U, 5U, 300U, 5200U }) {
            const Directory directory = directoryOf(size);
            const DirectoryDifference difference = differenceTo(directory, bucketDigestsOf(directory));
            CPPUNIT_ASSERT(difference.entries.empty() && !difference.isLarge);
        }
    }

    // Guards against repairs whose cost grows with the fleet: fetches of whole directories filled slow links, and when they
    // were made less frequent the directories differed for seconds.
    void smallDifferenceNeedsNoWholeDirectory()
    {
        for (const std::size_t size : { 20U, 300U, 5200U }) {
            Directory behind = directoryOf(size);
            Directory ahead = behind;
            applyEntry(ahead, agent(size));
            applyEntry(ahead, agent(3, 2));
            CPPUNIT_ASSERT(bucketDigestsOf(behind).size() * sizeof(std::uint32_t) <= 1024);
            applyAll(behind, differenceTo(ahead, bucketDigestsOf(behind)));
            CPPUNIT_ASSERT_EQUAL(digestOf(ahead), digestOf(behind));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, behind.entries.at("agent-3").epoch);
        }
    }

    void largeDifferenceIsNotSentByEntries()
    {
        const Directory known = directoryOf(300);
        const DirectoryDifference difference = differenceTo(known, bucketDigestsOf(Directory {}));
        CPPUNIT_ASSERT(difference.isLarge && difference.entries.empty());
        const DirectoryDifference back = differenceTo(Directory {}, bucketDigestsOf(known));
        CPPUNIT_ASSERT(back.entries.empty() && !back.isLarge);
    }

    void invalidDigestsGiveNoDifference()
    {
        const Directory known = directoryOf(30);
        for (const std::size_t buckets : { 0U, 3U, 512U, 100000U }) {
            const DirectoryDifference difference = differenceTo(known, std::vector<std::uint32_t>(buckets));
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
            const DirectoryDifference difference = differenceTo(sender, bucketDigestsOf(receiver));
            if (difference.isLarge && !isLost()) {
                for (const auto& [name, entry] : sender.entries)
                    applyEntry(receiver, entry);
            }
            for (const PeerEntry& entry : difference.entries) {
                if (!isLost())
                    applyEntry(receiver, entry);
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
    void directoriesConvergeAfterAPowerFailure()
    {
        constexpr std::size_t size = 300;
        Fleet fleet;
        fleet.members.resize(size);
        for (std::size_t number = 0; number < size; ++number) {
            for (const std::size_t known : { number, std::size_t { 0 }, std::size_t { 1 }, std::size_t { 2 } })
                applyEntry(fleet.members[number], agent(known, 2));
        }
        for (std::size_t missing = size; missing < size + 3; ++missing)
            applyEntry(fleet.members[missing % 7], agent(missing));
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
