#include "libdecision/directorydifference.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace kingcuptrail;

class TestDirectoryExchange : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestDirectoryExchange);
    CPPUNIT_TEST(onlyDifferencesAreSent);
    CPPUNIT_TEST(largeDifferenceIsSentInParts);
    CPPUNIT_TEST(farPeersAreComparedSeldom);
    CPPUNIT_TEST(acceptedEntriesFollowTheLink);
    CPPUNIT_TEST(invalidMessagesChangeNothing);
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

    /// Compares two directories; returns the number of entries sent.
    static std::size_t exchange(Directory& asking, Directory& answering, std::size_t accepted, std::size_t firstBucket)
    {
        const EntryDigests digests = entryDigestsFor(answering, bucketDigestsOf(asking), firstBucket);
        const DirectoryExchange difference = exchangeFor(asking, digests, accepted, accepted);
        const std::vector<PeerEntry> wanted = entriesWithDigests(answering, { .buckets = digests.buckets, .digests = difference.wanted }, accepted);
        for (const PeerEntry& entry : difference.entries)
            applyEntry(answering, entry);
        for (const PeerEntry& entry : wanted)
            applyEntry(asking, entry);
        return difference.entries.size() + wanted.size();
    }

    // Guards against answers that grow with the buckets or the directory and not with the difference.
    void onlyDifferencesAreSent()
    {
        for (const std::size_t size : { 20U, 300U, 5200U }) {
            Directory behind = directoryOf(size);
            Directory ahead = directoryOf(size);
            applyEntry(ahead, agent(size));
            applyEntry(ahead, agent(3, 2));
            // The older entry of agent 3 is sent as well, since a digest does not tell which of two is older.
            CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, exchange(behind, ahead, 48, 100));
            CPPUNIT_ASSERT_EQUAL(digestOf(ahead), digestOf(behind));
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, exchange(behind, ahead, 48, 100));
        }
    }

    // Guards against fetches of whole directories and against answers that fill a small link.
    void largeDifferenceIsSentInParts()
    {
        Directory known = directoryOf(300);
        Directory behind;
        for (std::size_t part = 0; part < 6; ++part)
            CPPUNIT_ASSERT_EQUAL(std::size_t { 50 }, exchange(behind, known, 50, 77 * part));
        CPPUNIT_ASSERT_EQUAL(digestOf(known), digestOf(behind));
        const Directory large = directoryOf(5200);
        const EntryDigests digests = entryDigestsFor(large, bucketDigestsOf({}), 9);
        CPPUNIT_ASSERT(digests.isPartial && digests.digests.size() <= DirectoryDifferenceOptions {}.maxEntryDigests && digests.digests.size() > 300);
        CPPUNIT_ASSERT(exchangeFor({}, digests, 10, 10).isPartial);
    }

    // Guards against comparisons of every process with processes of other data centres, which carry each entry there many times.
    void farPeersAreComparedSeldom()
    {
        DirectoryComparisons comparisons;
        CPPUNIT_ASSERT(tryBeginComparison(comparisons, true, 1000));
        CPPUNIT_ASSERT(!tryBeginComparison(comparisons, false, 1049));
        CPPUNIT_ASSERT(tryBeginComparison(comparisons, false, 1050));
        CPPUNIT_ASSERT(!tryBeginComparison(comparisons, true, 1199));
        CPPUNIT_ASSERT(tryBeginComparison(comparisons, true, 1200));
    }

    // Guards against comparisons that take a small host's link from its callers.
    void acceptedEntriesFollowTheLink()
    {
        const DirectoryDifferenceOptions options;
        CPPUNIT_ASSERT_EQUAL(options.maxAcceptedEntries, acceptedEntries(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 113 }, acceptedEntries(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 11 }, acceptedEntries(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, acceptedEntries(0.1));
    }

    void invalidMessagesChangeNothing()
    {
        const Directory known = directoryOf(30);
        for (const std::size_t buckets : { 0U, 3U, 512U, 100000U })
            CPPUNIT_ASSERT(entryDigestsFor(known, std::vector<std::uint32_t>(buckets), 0).buckets.empty());
        // Buckets that are named many times, and digests of no entry.
        const EntryDigests forged { .buckets = std::vector<std::uint8_t>(1000, 7), .digests = std::vector<std::uint32_t>(1000, 1) };
        CPPUNIT_ASSERT(exchangeFor(known, forged, 48, 48).entries.size() <= known.bucketNames[7].size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, exchangeFor(known, forged, 48, 48).wanted.size());
        CPPUNIT_ASSERT(entriesWithDigests(known, forged, 48).empty());
    }

    /// Processes in five data centres behind links of 20 Mbit/s. Each hears from a peer every 50 ms, alternately from one of its
    /// own data centre and from any, and one of a hundred comparisons is lost.
    struct Fleet {
        static constexpr std::size_t dataCentres = 5;
        static constexpr double linkMegabits = 20;

        std::vector<Directory> members;
        std::vector<DirectoryComparisons> comparisons;
        std::minstd_rand random { 20261203 };
        DirectoryDifferenceOptions options;
        Millis now = 0;

        explicit Fleet(std::size_t size)
            : members(size)
            , comparisons(size)
        {
        }

        std::size_t countComplete(std::uint64_t whole) const
        {
            return static_cast<std::size_t>(std::ranges::count_if(members, [whole](const Directory& member) { return digestOf(member) == whole; }));
        }

        void round()
        {
            const bool isNearRound = now / options.interval % 2 == 0;
            for (std::size_t member = 0; member < members.size(); ++member) {
                const std::size_t any = random() % members.size();
                const std::size_t peer = isNearRound ? any - any % dataCentres + member % dataCentres : any;
                const bool isLost = random() % 100 == 0;
                if (peer >= members.size() || digestOf(members[member]) == digestOf(members[peer]) || isLost)
                    continue;
                if (tryBeginComparison(comparisons[member], peer % dataCentres != member % dataCentres, now))
                    exchange(members[member], members[peer], acceptedEntries(linkMegabits), random());
            }
            now += options.interval;
        }
    };

    // A power failure: all processes start at once and each knows itself and three seeds, and three hosts don't come back and
    // are known to a few processes from the store. Guards against directories that stay different, the longer the larger the
    // fleet is: no search for a lost flow can end while they do.
    static void convergesAfterAPowerFailure(std::size_t size, Millis nineTenthsLimit, Millis allLimit)
    {
        Fleet fleet(size);
        Directory whole;
        for (std::size_t number = 0; number < size; ++number) {
            for (const std::size_t known : { number, std::size_t { 0 }, std::size_t { 1 }, std::size_t { 2 } })
                applyEntry(fleet.members[number], agent(known, 2));
            applyEntry(whole, agent(number, 2));
        }
        for (std::size_t missing = size; missing < size + 3; ++missing) {
            applyEntry(fleet.members[missing % 7], agent(missing));
            applyEntry(whole, agent(missing));
        }
        while (fleet.countComplete(digestOf(whole)) < size * 9 / 10 && fleet.now <= nineTenthsLimit)
            fleet.round();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(size) + " processes, nine tenths", fleet.now <= nineTenthsLimit);
        while (fleet.countComplete(digestOf(whole)) < size && fleet.now <= allLimit)
            fleet.round();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(size) + " processes, all", fleet.now <= allLimit);
    }

    void directoriesConvergeAfterAPowerFailure()
    {
        convergesAfterAPowerFailure(300, 500, 500);
        convergesAfterAPowerFailure(2000, 1000, 2000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDirectoryExchange);
