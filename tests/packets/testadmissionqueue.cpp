#include "libdecision/admissionqueue.h"
#include "packetfixtures.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace kingcuptrail;

/// Load after an outage of two seconds: all callers that still wait return within a tenth of a second, and new requests
/// arrive at half of the upstreams' capacity. Modelled on a service with 7 cold upstreams of 6 slots that take 64 ms for a
/// request, 340 new requests a second and a latency target of 200 ms.
class TestAdmissionQueue : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestAdmissionQueue);
    CPPUNIT_TEST(ordersByTimeLeftAndUrgency);
    CPPUNIT_TEST(queueIsBounded);
    CPPUNIT_TEST(copyDoesNotWaitTwice);
    CPPUNIT_TEST(copyNumberGivesMinimumAge);
    CPPUNIT_TEST(backlogDoesNotMakeNewRequestsLate);
    CPPUNIT_TEST_SUITE_END();

    static WaitingOpening openingAt(std::uint16_t caller, Millis arrivedAt, std::uint32_t priority = 1)
    {
        return { .flow = flowOf(caller), .startedAt = arrivedAt, .arrivedAt = arrivedAt, .timelyUntil = arrivedAt + 100, .priority = priority };
    }

    void ordersByTimeLeftAndUrgency()
    {
        AdmissionQueue queue;
        enqueue(queue, openingAt(1, 0), 5);
        enqueue(queue, openingAt(2, 10), 5);
        enqueue(queue, openingAt(3, 200, 2), 5);
        enqueue(queue, openingAt(4, 210, 1), 5);
        enqueue(queue, openingAt(5, 220, 1), 5);
        for (const std::uint16_t expected : { 5, 4, 3, 2, 1 })
            CPPUNIT_ASSERT_EQUAL(expected, popNext(queue, 250)->flow.caller.port);
        CPPUNIT_ASSERT(!popNext(queue, 250));
    }

    void queueIsBounded()
    {
        AdmissionQueue queue;
        const std::size_t most = queue.options.waitingPerSlot;
        for (std::size_t caller = 0; caller < most; ++caller)
            CPPUNIT_ASSERT(enqueue(queue, openingAt(static_cast<std::uint16_t>(caller), 0), 1));
        CPPUNIT_ASSERT(!enqueue(queue, openingAt(999, 0), 1));
        CPPUNIT_ASSERT(removeExpired(queue, queue.options.maxWait).empty());
        CPPUNIT_ASSERT_EQUAL(most, removeExpired(queue, queue.options.maxWait + 1).size());
        CPPUNIT_ASSERT(queue.waiting.empty());
    }

    void copyDoesNotWaitTwice()
    {
        AdmissionQueue queue;
        enqueue(queue, openingAt(1, 0), 5);
        enqueue(queue, openingAt(2, 50), 5);
        CPPUNIT_ASSERT(recordCopy(queue, flowOf(1), 200));
        CPPUNIT_ASSERT(!recordCopy(queue, flowOf(3), 200));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, queue.waiting.size());
        // A copy from its caller arrived later than the other caller's packet.
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 1 }, popNext(queue, 400)->flow.caller.port);
    }

    // Guards against admitting a caller's last copy before another caller's first packet: the copy's caller gives up
    // sooner, so its answer would be late.
    void copyNumberGivesMinimumAge()
    {
        CPPUNIT_ASSERT_EQUAL(Millis { 0 }, minOpeningAge(0));
        CPPUNIT_ASSERT_EQUAL(Millis { 200 }, minOpeningAge(1));
        CPPUNIT_ASSERT_EQUAL(Millis { 600 }, minOpeningAge(2));
        AdmissionQueue queue;
        WaitingOpening first = openingAt(1, 1000);
        WaitingOpening copy = openingAt(2, 1000 - minOpeningAge(2));
        copy.arrivedAt = 1050;
        enqueue(queue, first, 5);
        enqueue(queue, copy, 5);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 1 }, popNext(queue, 1060)->flow.caller.port);
        // The copy's caller gives up 600 ms before one that has just sent its first packet.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, removeExpired(queue, 1050 + queue.options.maxWait - 600).size());
    }

    struct Outcome {
        int newInTime = 0;
        int newAsked = 0;
        int answered = 0;
    };

    /// Takes the next opening in the queue's order, or the oldest one.
    static std::optional<WaitingOpening> popFrom(AdmissionQueue& queue, bool newestFirst, Millis now)
    {
        if (newestFirst || queue.waiting.empty())
            return popNext(queue, now);
        WaitingOpening first = std::move(queue.waiting.front());
        queue.waiting.erase(queue.waiting.begin());
        return first;
    }

    /// Simulates the load with one queue for all upstreams.
    static Outcome simulate(bool newestFirst)
    {
        constexpr Millis length = 3000;
        constexpr Millis work = 64;
        constexpr Millis target = 200;
        constexpr std::size_t slots = 42;
        constexpr int returningEachMilli = 7;
        constexpr Millis returningFor = 100;
        constexpr Millis newEvery = 3;
        Outcome outcome;
        AdmissionQueue queue;
        queue.options.maxWait = length;
        std::uint16_t caller = 0;
        std::multimap<Millis, WaitingOpening> running;
        for (Millis now = 0; now < length; ++now) {
            for (int index = 0; now < returningFor && index < returningEachMilli; ++index)
                enqueue(queue, { .flow = flowOf(++caller), .startedAt = now, .arrivedAt = now, .timelyUntil = -1, .priority = 1 }, slots);
            if (now % newEvery == 0) {
                enqueue(queue, { .flow = flowOf(++caller), .startedAt = now, .arrivedAt = now, .timelyUntil = now + target / 2, .priority = 0 }, slots);
                ++outcome.newAsked;
            }
            while (!running.empty() && running.begin()->first <= now) {
                const WaitingOpening& done = running.begin()->second;
                ++outcome.answered;
                outcome.newInTime += done.priority == 0 && now - done.arrivedAt <= target ? 1 : 0;
                running.erase(running.begin());
            }
            while (running.size() < slots && !queue.waiting.empty())
                running.emplace(now + work, *popFrom(queue, newestFirst, now));
        }
        return outcome;
    }

    // Guards against late answers to new requests after an outage. Served in order of arrival, each new request waits
    // behind the backlog, for more than a second after everything is up again.
    void backlogDoesNotMakeNewRequestsLate()
    {
        const Outcome inOrder = simulate(false);
        const Outcome newestFirst = simulate(true);
        CPPUNIT_ASSERT(newestFirst.newInTime > 9 * newestFirst.newAsked / 10);
        CPPUNIT_ASSERT(inOrder.newInTime < 6 * inOrder.newAsked / 10);
        CPPUNIT_ASSERT(newestFirst.answered > 9 * inOrder.answered / 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAdmissionQueue);
