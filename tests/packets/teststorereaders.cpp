#include "libdecision/storereaders.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestStoreReaders : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestStoreReaders);
    CPPUNIT_TEST(fleetSettlesOnAFewReaders);
    CPPUNIT_TEST(lostReaderIsReplacedByOne);
    CPPUNIT_TEST(readersThatStopAreReplacedAtOnce);
    CPPUNIT_TEST(restartedReaderCountsAgain);
    CPPUNIT_TEST(slowLinksDelayTheFirstRead);
    CPPUNIT_TEST(fewProcessesReadAfterAFullRestart);
    CPPUNIT_TEST(gossipListsFewReaders);
    CPPUNIT_TEST(firstReadWaitsForAPeersTransfer);
    CPPUNIT_TEST_SUITE_END();

    // All hosts lose power and restart together. Balancers on links of 10 Mbit/s that read a configuration of 250 KB from
    // the store, besides the traffic of callers and peers, offered their first opening half a second after their start. On
    // a fast link the read took 16 ms.
    void slowLinksDelayTheFirstRead()
    {
        const StoreReaderOptions options;
        for (const std::uint64_t id : { 0U, 59U, 12345U }) {
            CPPUNIT_ASSERT(firstReadDelay(options, id, 1000) < 65);
            CPPUNIT_ASSERT(firstReadDelay(options, id, 10) >= 200);
            // Where all links are slow, one of the processes has to read the store, and soon.
            CPPUNIT_ASSERT(firstReadDelay(options, id, 10) < 260);
        }
        CPPUNIT_ASSERT(firstReadDelay(options, 0, 0.1) <= options.maxWait);
    }

    // Guards against every balancer reading the store just when it has come back. All start within 300 ms, and each learns
    // of a version 150 ms after the first read of any process, or 50 ms after its own start if that is later.
    void fewProcessesReadAfterAFullRestart()
    {
        const StoreReaderOptions options;
        constexpr Millis startSpread = 300;
        constexpr Millis spreadTime = 150;
        constexpr Millis firstAnswer = 50;
        constexpr std::size_t seeds = 3;
        for (const std::size_t size : { 12U, 91U, 700U }) {
            std::vector<Millis> readsAt;
            Millis firstRead = startSpread;
            for (std::size_t rank = 0; rank < size; ++rank) {
                const Millis startedAt = static_cast<Millis>(rank * 7919 % startSpread);
                const bool isSeed = rank % (size / seeds) == 1;
                const Millis delay = isSeed ? 0 : firstReadDelay(options, rank * 31, 20);
                readsAt.push_back(startedAt + delay + firstReadRankDelay(options, rank, isSeed));
                firstRead = std::min(firstRead, readsAt.back());
            }
            std::size_t readers = 0;
            for (std::size_t rank = 0; rank < size; ++rank) {
                const Millis startedAt = static_cast<Millis>(rank * 7919 % startSpread);
                const Millis learntAt = std::max(firstRead + spreadTime, startedAt + firstAnswer);
                readers += readsAt[rank] <= learntAt ? 1 : 0;
            }
            CPPUNIT_ASSERT(readers <= options.wanted + seeds);
        }
        // Without any seed one process reads the store before callers send their second copy.
        CPPUNIT_ASSERT(firstReadRankDelay(options, 0, false) <= 100);
        CPPUNIT_ASSERT(firstReadRankDelay(options, 5000, false) <= options.maxWait);
    }

    // Guards against a hundred reads of the whole store in addition to a hundred transfers of the same data from peers.
    void firstReadWaitsForAPeersTransfer()
    {
        const StoreReaderOptions options;
        CPPUNIT_ASSERT(!isFirstReadDue(options, 199, 200, false));
        CPPUNIT_ASSERT(isFirstReadDue(options, 200, 200, false));
        CPPUNIT_ASSERT(!isFirstReadDue(options, 200, 200, true));
        // A transfer that does not finish must not leave the process without a view.
        CPPUNIT_ASSERT(isFirstReadDue(options, options.maxWait, 200, true));
    }

    // Guards against gossip messages of several kilobytes after a restart in which a hundred processes began to follow the
    // store.
    void gossipListsFewReaders()
    {
        StoreReaders state;
        for (std::size_t index = 0; index < 100; ++index)
            recordHeartbeat(state, { .name = nameOfProcess(index), .beat = 1, .hasStopped = index % 2 == 1 }, 1000);
        const std::vector<ReaderHeartbeat> heartbeats = currentHeartbeats(state, 1001);
        CPPUNIT_ASSERT_EQUAL(2 * state.options.maxHeartbeats, heartbeats.size());
        CPPUNIT_ASSERT(state.options.maxHeartbeats >= state.options.wanted);
        CPPUNIT_ASSERT_EQUAL(nameOfProcess(0), heartbeats.front().name);
    }

    static std::string nameOfProcess(std::size_t index)
    {
        return "b" + std::to_string(100 + index);
    }

    struct Fleet {
        explicit Fleet(std::size_t size)
            : states(size)
            , isReading(size, true)
            , isAlive(size, true)
        {
        }

        /// One gossip round in which every process receives the messages of all others, as after several real rounds.
        void round(Millis now)
        {
            for (std::size_t reader = 0; reader < states.size(); ++reader) {
                if (isReading[reader] && isAlive[reader])
                    beat(states[reader], nameOfProcess(reader), now);
            }
            for (std::size_t sender = 0; sender < states.size(); ++sender) {
                if (!isAlive[sender])
                    continue;
                for (StoreReaders& receiver : states) {
                    for (const ReaderHeartbeat& heard : currentHeartbeats(states[sender], now))
                        recordHeartbeat(receiver, heard, now);
                }
            }
            for (std::size_t index = 0; index < states.size(); ++index)
                isReading[index] = isAlive[index] && shouldRead(states[index], nameOfProcess(index), isReading[index], index, now);
        }

        std::size_t readers() const { return static_cast<std::size_t>(std::count(isReading.begin(), isReading.end(), true)); }

        std::vector<StoreReaders> states;
        std::vector<bool> isReading;
        std::vector<bool> isAlive;
    };

    // The store rejects the requests of all three processes that follow it. Since they announce that they stop, others
    // follow it within a second. Detection by missed heartbeats alone took three and a half seconds, and a change accepted
    // meanwhile was late everywhere.
    void readersThatStopAreReplacedAtOnce()
    {
        Fleet fleet(20);
        Millis now = 1000;
        for (; now < 4000; now += 250)
            fleet.round(now);
        for (std::size_t reader = 0; reader < 3; ++reader) {
            announceStop(fleet.states[reader], nameOfProcess(reader), now);
            fleet.isReading[reader] = false;
        }
        const Millis stoppedAt = now;
        const auto isFollowed = [&fleet] { return std::any_of(fleet.isReading.begin() + 3, fleet.isReading.end(), [](bool isReading) { return isReading; }); };
        for (; now <= stoppedAt + 1000 && !isFollowed(); now += 250) {
            fleet.round(now);
            // The store still rejects their requests.
            for (std::size_t reader = 0; reader < 3; ++reader)
                fleet.isReading[reader] = false;
        }
        CPPUNIT_ASSERT(isFollowed());
        CPPUNIT_ASSERT(now - stoppedAt <= 1000);
    }

    void fleetSettlesOnAFewReaders()
    {
        Fleet fleet(20);
        for (Millis now = 1000; now < 4000; now += 250)
            fleet.round(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, fleet.readers());
        CPPUNIT_ASSERT(fleet.isReading[0] && fleet.isReading[2]);
    }

    // Two of the three processes that follow the store are cut off from it, so their heartbeats end. Others must begin to
    // follow it one after the other and not all at once, and a change must still be in force in time.
    void lostReaderIsReplacedByOne()
    {
        Fleet fleet(20);
        Millis now = 1000;
        for (; now < 4000; now += 250)
            fleet.round(now);
        fleet.isAlive[0] = false;
        fleet.isAlive[1] = false;
        for (; now < 8000; now += 250) {
            fleet.round(now);
            CPPUNIT_ASSERT(fleet.readers() >= 1 && fleet.readers() <= 6);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, fleet.readers());
        CPPUNIT_ASSERT(fleet.isReading[3] && fleet.isReading[4]);
    }

    // A reader is restarted and counts from the beginning, while others know its old, higher number. Guards against
    // rejecting its heartbeats for ever, which would make all other processes follow the store.
    void restartedReaderCountsAgain()
    {
        StoreReaders state;
        recordHeartbeat(state, { .name = "a", .beat = 900 }, 1000);
        recordHeartbeat(state, { .name = "a", .beat = 1 }, 1100);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 900 }, currentHeartbeats(state, 1100).front().beat);
        const Millis later = 1000 + state.options.freshness + 1;
        CPPUNIT_ASSERT(currentHeartbeats(state, later).empty());
        recordHeartbeat(state, { .name = "a", .beat = 2 }, later);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, currentHeartbeats(state, later).front().beat);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreReaders);
