#include "libprotocol/flowendpoint.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace kingcuptrail;

class TestFlowEndpoint : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestFlowEndpoint);
    CPPUNIT_TEST(lossyPathDeliversEachPayloadOnceInOrder);
    CPPUNIT_TEST(fullQueueRejectsPayloads);
    CPPUNIT_TEST(acknowledgementOfUnsentIsIgnored);
    CPPUNIT_TEST_SUITE_END();

    static Bytes numbered(std::uint32_t number)
    {
        return { static_cast<std::uint8_t>(number), static_cast<std::uint8_t>(number >> 8) };
    }

    // When one of three balancers fails during an upload, packets of the flow are lost, duplicated and reordered. The test
    // drops every third segment, delivers some twice and shuffles the rest. Each payload must be delivered exactly once and
    // in order; otherwise the uploaded data is corrupted.
    void lossyPathDeliversEachPayloadOnceInOrder()
    {
        std::mt19937 random(7);
        FlowEndpoint sender;
        FlowEndpoint receiver;
        constexpr std::uint32_t count = 500;
        for (std::uint32_t number = 0; number < count; ++number)
            CPPUNIT_ASSERT(sender.send(numbered(number)));
        std::uint32_t delivered = 0;
        for (Millis now = 0; now < 200000 && delivered < count; now += 10) {
            auto due = sender.collectOutgoing(now);
            std::shuffle(due.begin(), due.end(), random);
            for (const auto& segment : due) {
                const auto outcome = random() % 6;
                if (outcome < 2)
                    continue;
                receiver.receive(segment.sequence, *segment.payload);
                if (outcome == 2)
                    receiver.receive(segment.sequence, *segment.payload);
            }
            while (const auto payload = receiver.dequeuePayload())
                CPPUNIT_ASSERT(*payload == numbered(delivered++));
            if (random() % 3)
                sender.acknowledge(receiver.receivedUpTo(), now + 3);
        }
        CPPUNIT_ASSERT_EQUAL(count, delivered);
        CPPUNIT_ASSERT(sender.resent() > 0);
    }

    void fullQueueRejectsPayloads()
    {
        FlowEndpoint sender({ .queueSegments = 2 });
        CPPUNIT_ASSERT(sender.send({ 1 }));
        CPPUNIT_ASSERT(sender.send({ 2 }));
        CPPUNIT_ASSERT(!sender.send({ 3 }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, sender.unacknowledged());
    }

    void acknowledgementOfUnsentIsIgnored()
    {
        FlowEndpoint sender;
        CPPUNIT_ASSERT(sender.send({ 1 }));
        sender.acknowledge(100, 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, sender.unacknowledged());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFlowEndpoint);
