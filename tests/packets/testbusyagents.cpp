#include "libdecision/busyagents.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

/// All agents of a service are full, and openings keep arriving.
class TestBusyAgents : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestBusyAgents);
    CPPUNIT_TEST(openingThatNobodyTakesCostsFewMessages);
    CPPUNIT_TEST(freeSlotIsAskedForWhileSomeHaveOne);
    CPPUNIT_TEST(lateAnswerBetweenTwoRoundsAsksAgain);
    CPPUNIT_TEST_SUITE_END();

    // Guards against offering each opening to all agents, one after the other.
    void openingThatNobodyTakesCostsFewMessages()
    {
        for (const double busyShare : { 0.0, 1.0 }) {
            const BusyAgents state { .busyShare = busyShare };
            std::uint32_t offers = 1;
            std::uint32_t busyAgents = 1;
            while (stepAfterBusy(state, busyAgents, offers) != BusyStep::Refuse) {
                ++offers;
                ++busyAgents;
            }
            CPPUNIT_ASSERT_EQUAL(std::uint32_t { 4 }, offers);
        }
    }

    // Guards against openings that wait at the first agent while another one has a free slot.
    void freeSlotIsAskedForWhileSomeHaveOne()
    {
        BusyAgents state;
        CPPUNIT_ASSERT(needsFreeSlot(state, 0));
        CPPUNIT_ASSERT(stepAfterBusy(state, 1, 1) == BusyStep::AskNext);
        CPPUNIT_ASSERT(needsFreeSlot(state, 1));
        CPPUNIT_ASSERT(stepAfterBusy(state, 2, 2) == BusyStep::WaitAtLeastLoaded);
        CPPUNIT_ASSERT(!needsFreeSlot(state, 2));
        for (int opening = 0; opening < 100; ++opening)
            noteSlotQuestion(state, true);
        CPPUNIT_ASSERT(!needsFreeSlot(state, 0));
        for (int opening = 0; opening < 100; ++opening)
            noteSlotQuestion(state, false);
        CPPUNIT_ASSERT(needsFreeSlot(state, 0));
    }

    // Guards against choosing the least loaded of no agents when an answer arrives after its round has ended.
    void lateAnswerBetweenTwoRoundsAsksAgain()
    {
        CPPUNIT_ASSERT(stepAfterBusy({}, 2, 0) == BusyStep::AskNext);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestBusyAgents);
