#include "libdecision/flowverification.h"
#include "packetfixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestFlowVerification : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestFlowVerification);
    CPPUNIT_TEST(returnedFlowsAreLost);
    CPPUNIT_TEST(answeredFlowsAreKept);
    CPPUNIT_TEST(unansweredCopiesAreNoEvidence);
    CPPUNIT_TEST(flowsLearntFromSilenceAreNotReset);
    CPPUNIT_TEST(copiesAreSpreadOverSteps);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::array<std::uint8_t, 4> packet { 1, 2, 3, 4 };

    AgentFlows m_table;
    FlowVerification m_verification;

    void open(std::uint16_t number)
    {
        beginFlow(m_table, flowOf(number), 10);
        trackUpstreamPacket(m_table, flowOf(number), upstreamAnswer(500), 11);
        CPPUNIT_ASSERT(trackCallerPacket(m_table, flowOf(number), callerPacket(501, 100), 12) == CallerPacketAction::Deliver);
        keepCallerPacket(m_table, flowOf(number), callerPacket(501, 100), packet);
    }

    void returnedFlowsAreLost()
    {
        open(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, beginVerification(m_verification, m_table, 100));
        CPPUNIT_ASSERT(takeDueCopies(m_verification, m_table, 100) == std::vector { flowOf(1) });
        const auto lost = recordReturned(m_verification, m_table, flowOf(1));
        CPPUNIT_ASSERT(lost && lost->flow == flowOf(1) && lost->callerAcknowledged == 501);
        CPPUNIT_ASSERT(m_table.flows.empty() && m_table.open == 0 && !recordReturned(m_verification, m_table, flowOf(1)));
    }

    // Guards against a reset when a late copy of a caller's packet is returned after the process has answered.
    void answeredFlowsAreKept()
    {
        open(1);
        beginVerification(m_verification, m_table, 100);
        takeDueCopies(m_verification, m_table, 100);
        trackUpstreamPacket(m_table, flowOf(1), upstreamData(600), 101);
        CPPUNIT_ASSERT(takeDueCopies(m_verification, m_table, 300).empty() && m_verification.flows.empty());
        CPPUNIT_ASSERT_EQUAL(1U, m_table.open);
    }

    // Guards against a reset because a paused process neither answers nor returns the copies.
    void unansweredCopiesAreNoEvidence()
    {
        open(1);
        beginVerification(m_verification, m_table, 100);
        std::size_t copies = 0;
        for (Millis now = 100; now < 5000; now += 20)
            copies += takeDueCopies(m_verification, m_table, now).size();
        CPPUNIT_ASSERT_EQUAL(std::size_t { m_verification.options.copies }, copies);
        CPPUNIT_ASSERT(m_verification.flows.empty());
        CPPUNIT_ASSERT_EQUAL(1U, m_table.open);
    }

    // Guards against a reset of a flow that another upstream holds: it was learnt because nobody returned its packet.
    void flowsLearntFromSilenceAreNotReset()
    {
        learnFlow(m_table, flowOf(2), 640, 50);
        keepCallerPacket(m_table, flowOf(2), callerPacket(640, 100), packet);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, beginVerification(m_verification, m_table, 100));
        CPPUNIT_ASSERT(!recordReturned(m_verification, m_table, flowOf(2)));
        CPPUNIT_ASSERT(m_table.flows.empty());
    }

    // Guards against copies of a full table that overflow the socket of the upstream, which then returns only a part.
    void copiesAreSpreadOverSteps()
    {
        for (std::uint16_t number = 1; number <= 200; ++number)
            open(number);
        beginVerification(m_verification, m_table, 100);
        std::size_t sent = 0;
        for (Millis now = 100; now < 200; now += 20) {
            const std::size_t step = takeDueCopies(m_verification, m_table, now).size();
            CPPUNIT_ASSERT(step <= m_verification.options.copiesPerStep);
            sent += step;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 200 }, sent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFlowVerification);
