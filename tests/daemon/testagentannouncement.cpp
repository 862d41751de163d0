#include "kingcuptraild/packets/agentannouncement.h"
#include "libplatform/peerentryjson.h"
#include "platform/platformfixture.h"

using namespace kingcuptrail;

class TestAgentAnnouncement : public PlatformFixture {
    CPPUNIT_TEST_SUITE(TestAgentAnnouncement);
    CPPUNIT_TEST(entryOfAnEarlierProcessIsWithdrawn);
    CPPUNIT_TEST(withdrawalIsRetriedDuringAnOutage);
    CPPUNIT_TEST(withdrawalWithoutEntryEndsAtOnce);
    CPPUNIT_TEST(restartBesideARunningUpstreamWritesNothing);
    CPPUNIT_TEST(staleAnswerIsCheckedAgain);
    CPPUNIT_TEST(entryWithdrawnByThisProcessIsWrittenAgain);
    CPPUNIT_TEST(upstreamThatComesBackIsAnnouncedAgain);
    CPPUNIT_TEST_SUITE_END();

    static PeerEntry entry()
    {
        return { .name = "agent-1", .address = 0x0a000007, .dataCentre = "north", .service = "board", .epoch = 9 };
    }

    bool isInStore()
    {
        PlatformClient client(m_context, m_options);
        std::optional<bool> found;
        client.get("agent", "agent-1", [&found](const std::optional<PlatformObject>& object, PlatformError) { found = object.has_value(); });
        runUntil(m_context, [&found] { return found.has_value(); });
        return *found;
    }

    void announce()
    {
        AgentAnnouncement announcement(m_context, m_options);
        announcement.write(entry());
        runUntil(m_context, [this] { return isInStore(); });
    }

    // Guards against an entry that stays in the store after its agent is gone. An upstream leaves while its host loses power;
    // the restarted agent finds no upstream and is stopped. If it does not withdraw the entry that its predecessor wrote, every
    // search in the deployment waits for a missing agent, and callers of lost flows wait until their deadlines.
    void entryOfAnEarlierProcessIsWithdrawn()
    {
        announce();
        AgentAnnouncement next(m_context, m_options);
        bool isDone = false;
        next.withdraw("agent-1", [&isDone] { isDone = true; });
        runUntil(m_context, [&isDone] { return isDone; });
        CPPUNIT_ASSERT(!isInStore());
    }

    // Guards against a withdrawal that is attempted only once: the store may refuse the calls of the agent's host for a moment.
    void withdrawalIsRetriedDuringAnOutage()
    {
        announce();
        AgentAnnouncement next(m_context, m_options);
        bool isDone = false;
        m_server->setFaults({ .down = true });
        next.withdraw("agent-1", [&isDone] { isDone = true; });
        const auto before = next.callsMade();
        runUntil(m_context, [&] { return next.callsMade() >= before + 2; });
        CPPUNIT_ASSERT(!isDone);
        m_server->setFaults({});
        runUntil(m_context, [&isDone] { return isDone; });
        CPPUNIT_ASSERT(!isInStore());
    }

    void withdrawalWithoutEntryEndsAtOnce()
    {
        AgentAnnouncement announcement(m_context, m_options);
        bool isDone = false;
        announcement.withdraw("agent-1", [&isDone] { isDone = true; });
        runUntil(m_context, [&isDone] { return isDone; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, announcement.callsMade());
    }

    // Guards against a write and another read for every agent when all agents are restarted at once.
    void restartBesideARunningUpstreamWritesNothing()
    {
        announce();
        const std::size_t writes = countCalls("PUT", "agent-1");
        AgentAnnouncement next(m_context, m_options);
        bool isFound = false;
        next.setOnFound([&isFound](const PeerEntry&) { isFound = true; });
        next.write(entry());
        runUntil(m_context, [&isFound] { return isFound; });
        m_context.poll();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, next.callsMade());
        CPPUNIT_ASSERT(writes > 0);
        CPPUNIT_ASSERT_EQUAL(writes, countCalls("PUT", "agent-1"));
    }

    // Guards against an agent without an entry in the store: the previous process has just withdrawn the entry, and the new
    // one reads an answer of the store that is some seconds old and still contains it.
    void staleAnswerIsCheckedAgain()
    {
        announce();
        constexpr Millis oldest = 50;
        AgentAnnouncement next(m_context, m_options, { .rereadDelay = oldest });
        bool isFound = false;
        next.setOnFound([&isFound](const PeerEntry&) { isFound = true; });
        next.write(entry());
        runUntil(m_context, [&isFound] { return isFound; });
        const auto object = m_server->store().get("agent", "agent-1");
        CPPUNIT_ASSERT(object);
        m_server->store().remove("agent", "agent-1", object->version);
        runUntil(m_context, [this] { return isInStore(); });
    }

    // Guards against the same failure when the upstream is replaced while the agent's process stays.
    void entryWithdrawnByThisProcessIsWrittenAgain()
    {
        AgentAnnouncement announcement(m_context, m_options);
        announcement.write(entry());
        runUntil(m_context, [this] { return isInStore(); });
        bool isDone = false;
        announcement.withdraw("agent-1", [&isDone] { isDone = true; });
        runUntil(m_context, [&isDone] { return isDone; });
        const std::size_t reads = countCalls("GET", "agent-1");
        announcement.write(entry());
        runUntil(m_context, [this] { return m_server->store().get("agent", "agent-1").has_value(); });
        CPPUNIT_ASSERT_EQUAL(reads, countCalls("GET", "agent-1"));
    }

    // Guards against an upstream that stays unknown to processes that start later. The agent of a restarted host finds no
    // upstream and withdraws the old entry, and the upstream starts while the withdrawal is in progress.
    void upstreamThatComesBackIsAnnouncedAgain()
    {
        announce();
        AgentAnnouncement next(m_context, m_options);
        bool isDone = false;
        next.withdraw("agent-1", [&isDone] { isDone = true; });
        next.write(entry());
        runUntil(m_context, [&isDone] { return isDone; });
        runUntil(m_context, [this] { return isInStore(); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAgentAnnouncement);
