#include "libdecision/unresponsiveagents.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestUnresponsiveAgents : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestUnresponsiveAgents);
    CPPUNIT_TEST(lostHostIsPresumedGone);
    CPPUNIT_TEST(messageEndsSilence);
    CPPUNIT_TEST(pauseOfTheBalancerDoesNotCountAsSilence);
    CPPUNIT_TEST(isolatedBalancerPresumesNoAgentGone);
    CPPUNIT_TEST_SUITE_END();

    // A host loses power for good, and its agent never announced that it was leaving. Guards against searches for lost
    // flows that wait for this agent for ever, so that callers no longer learn that their flows are lost.
    void lostHostIsPresumedGone()
    {
        UnresponsiveAgents agents;
        CPPUNIT_ASSERT(!isPresumedGone(agents, 7, 1000));
        recordUnanswered(agents, 7, 1000);
        recordUnanswered(agents, 7, 5000);
        CPPUNIT_ASSERT(!isPresumedGone(agents, 7, 6999));
        CPPUNIT_ASSERT(isPresumedGone(agents, 7, 7000));
        CPPUNIT_ASSERT(!isPresumedGone(agents, 8, 7000));
    }

    // An agent is cut off for twelve seconds and comes back with the flows of its upstream, which kept running. From its
    // first message on, no flow counts as lost without its answer.
    void messageEndsSilence()
    {
        UnresponsiveAgents agents;
        recordUnanswered(agents, 7, 1000);
        CPPUNIT_ASSERT(isPresumedGone(agents, 7, 13000));
        recordMessage(agents, 7);
        CPPUNIT_ASSERT(!isPresumedGone(agents, 7, 13001));
        recordUnanswered(agents, 7, 13500);
        CPPUNIT_ASSERT(!isPresumedGone(agents, 7, 14000));
    }

    // A balancer's host is suspended for a minute with one query open, and the agent's answer waits in its socket.
    void pauseOfTheBalancerDoesNotCountAsSilence()
    {
        UnresponsiveAgents agents;
        recordUnanswered(agents, 7, 1000);
        resetSilence(agents);
        CPPUNIT_ASSERT(!isPresumedGone(agents, 7, 61000));
    }

    // A small balancer is overloaded when all callers return at once, and its socket overflows for ten seconds, so no
    // agent's answer arrives. Guards against a search that ends with the first answers after that, which would reset flows
    // that the other agents hold.
    void isolatedBalancerPresumesNoAgentGone()
    {
        UnresponsiveAgents agents;
        for (Millis now = 1000; now <= 12000; now += 200) {
            for (std::uint32_t agent = 1; agent <= 6; ++agent)
                recordUnanswered(agents, agent, now);
            resetImplausibleSilence(agents, 10);
        }
        for (std::uint32_t agent = 1; agent <= 6; ++agent)
            CPPUNIT_ASSERT(!isPresumedGone(agents, agent, 12000));
        recordUnanswered(agents, 1, 12000);
        resetImplausibleSilence(agents, 10);
        CPPUNIT_ASSERT(isPresumedGone(agents, 1, 22000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestUnresponsiveAgents);
