#include "libdecision/offerpolicy.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

/// All agents of a service are full, and openings keep arriving.
class TestOfferPolicy : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestOfferPolicy);
    CPPUNIT_TEST(offersPerOpeningAreBounded);
    CPPUNIT_TEST(freeSlotIsAskedForWhileSomeHaveOne);
    CPPUNIT_TEST(lateAnswerBetweenRoundsOffersAgain);
    CPPUNIT_TEST_SUITE_END();

    // Guards against offering each opening to all agents, one after the other.
    void offersPerOpeningAreBounded()
    {
        for (const double busyShare : { 0.0, 1.0 }) {
            const OfferPolicy state { .busyShare = busyShare };
            std::uint32_t offers = 1;
            std::uint32_t busyAgents = 1;
            while (nextOfferStep(state, busyAgents, offers) != OfferStep::Refuse) {
                ++offers;
                ++busyAgents;
            }
            CPPUNIT_ASSERT_EQUAL(std::uint32_t { 4 }, offers);
        }
    }

    // Guards against openings that wait at the first agent while another one has a free slot.
    void freeSlotIsAskedForWhileSomeHaveOne()
    {
        OfferPolicy state;
        CPPUNIT_ASSERT(needsFreeSlot(state, 0));
        CPPUNIT_ASSERT(nextOfferStep(state, 1, 1) == OfferStep::AskNext);
        CPPUNIT_ASSERT(needsFreeSlot(state, 1));
        CPPUNIT_ASSERT(nextOfferStep(state, 2, 2) == OfferStep::WaitAtLeastLoaded);
        CPPUNIT_ASSERT(!needsFreeSlot(state, 2));
        for (int opening = 0; opening < 100; ++opening)
            recordSlotOffer(state, true);
        CPPUNIT_ASSERT(!needsFreeSlot(state, 0));
        for (int opening = 0; opening < 100; ++opening)
            recordSlotOffer(state, false);
        CPPUNIT_ASSERT(needsFreeSlot(state, 0));
    }

    // Guards against choosing the least loaded agent from an empty list when an answer arrives after its round has ended.
    void lateAnswerBetweenRoundsOffersAgain()
    {
        CPPUNIT_ASSERT(nextOfferStep({}, 2, 0) == OfferStep::AskNext);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestOfferPolicy);
