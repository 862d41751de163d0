#include "libplatform/announcer.h"
#include "libplatform/leaserecord.h"
#include "libplatform/presencewatcher.h"
#include "platformfixture.h"

using namespace kingcuptrail;

class TestMembership : public PlatformFixture {
    CPPUNIT_TEST_SUITE(TestMembership);
    CPPUNIT_TEST(presenceJsonRoundTrips);
    CPPUNIT_TEST(watcherReportsAnnouncementDrainAndWithdrawal);
    CPPUNIT_TEST(lostResponsesAllocateOneIncarnation);
    CPPUNIT_TEST(incarnationGrowsAcrossWithdrawal);
    CPPUNIT_TEST(pausedAnnouncerIsFenced);
    CPPUNIT_TEST(racingAnnouncersGetDifferentIncarnations);
    CPPUNIT_TEST(deletedAnnouncementIsWrittenAgain);
    CPPUNIT_TEST(leaseDoesNotLapseDuringOutage);
    CPPUNIT_TEST(leaseOfDeadAgentLapses);
    CPPUNIT_TEST(onlyLeasesOfUnlinkedAgentsAreRead);
    CPPUNIT_TEST(withdrawalTimesOutDuringOutage);
    CPPUNIT_TEST_SUITE_END();

    static Presence wanted(Millis lease = 300)
    {
        return { .upstream = "board-1", .token = { upstreamIdOf("board-1"), 0 }, .service = "board", .dataCentre = "north", .address = "127.0.0.1:9000", .lease = lease };
    }

    struct Announced {
        std::vector<Presence> announced;
        std::optional<OwnerToken> newer;
        std::unique_ptr<Announcer> announcer;

        Announced(asio::io_context& context, const PlatformOptions& options, const Presence& presence)
        {
            announcer = std::make_unique<Announcer>(context, options, presence,
                Announcer::Handlers {
                    .onAnnounced = [this](const Presence& given) { announced.push_back(given); },
                    .onFenced = [this](const OwnerToken& token) { newer = token; },
                });
        }

        Incarnation incarnation() const { return announced.empty() ? 0 : announced.front().token.incarnation; }
    };

    struct Watched {
        std::vector<Presence> now;
        unsigned reports = 0;
        PresenceWatcher watcher;

        Watched(asio::io_context& context, const PlatformOptions& options)
            : watcher(context, options, [this](const std::vector<Presence>& presences) {
                now = presences;
                ++reports;
            })
        {
        }

        bool isOnly(MemberState state) const { return now.size() == 1 && now.front().state == state; }
    };

    void awaitAnnounced(const Announced& announced)
    {
        runUntil(m_context, [&announced] { return announced.incarnation() > 0; });
    }

    void awaitRenewals(std::size_t more)
    {
        const auto before = countCalls("PUT", "/lease/");
        runUntil(m_context, [this, before, more] { return countCalls("PUT", "/lease/") >= before + more; });
    }

    void withdraw(Announced& announced, Millis limit = 5000)
    {
        bool done = false;
        announced.announcer->withdraw(limit, [&done] { done = true; });
        runUntil(m_context, [&done] { return done; });
    }

    void presenceJsonRoundTrips()
    {
        Presence presence = wanted();
        presence.token.incarnation = 4;
        presence.state = MemberState::Draining;
        CPPUNIT_ASSERT(parsePresence(toJson(presence)) == presence);
        for (const char* bad : { "", "{}", "[]", R"({"upstream":1})" })
            CPPUNIT_ASSERT(!parsePresence(bad));
    }

    void watcherReportsAnnouncementDrainAndWithdrawal()
    {
        Watched watched(m_context, m_options);
        runUntil(m_context, [&] { return watched.reports == 1; });
        Announced announced(m_context, m_options, wanted());
        runUntil(m_context, [&] { return watched.isOnly(MemberState::Serving); });
        CPPUNIT_ASSERT(watched.now.front() == announced.announced.front());
        announced.announcer->setState(MemberState::Draining);
        runUntil(m_context, [&] { return watched.isOnly(MemberState::Draining); });
        withdraw(announced);
        runUntil(m_context, [&] { return watched.now.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, announced.announced.size());
    }

    // Each write of an announcement takes effect but its response is lost. A retry with a new incarnation would make the process
    // fence itself; reading the object back must show that the first write took effect.
    void lostResponsesAllocateOneIncarnation()
    {
        m_server->setFaults({ .loseAnswers = 3 });
        Announced announced(m_context, m_options, wanted());
        awaitAnnounced(announced);
        awaitRenewals(3);
        CPPUNIT_ASSERT_EQUAL(Incarnation { 1 }, announced.incarnation());
        CPPUNIT_ASSERT(!announced.newer);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, announced.announced.size());
    }

    // An agent withdraws and another starts for the same upstream while packets of old flows still carry the first incarnation.
    // If that incarnation were allocated again, the second agent would accept those packets as its own.
    void incarnationGrowsAcrossWithdrawal()
    {
        for (Incarnation expected = 1; expected <= 3; ++expected) {
            Announced announced(m_context, m_options, wanted());
            awaitAnnounced(announced);
            CPPUNIT_ASSERT_EQUAL(expected, announced.incarnation());
            withdraw(announced);
            CPPUNIT_ASSERT(!m_server->store().get(presenceKind, "board-1"));
        }
    }

    // An agent is paused for longer than its lease (here: the platform is unavailable to it alone), and another agent is started
    // in its place and, in the second run, withdrawn again. When the first resumes, it must be fenced and must not announce its
    // old incarnation.
    void pausedAnnouncerIsFenced()
    {
        for (const bool laterWithdraws : { false, true }) {
            PlatformOptions options = m_options;
            options.client = "paused";
            Announced paused(m_context, options, wanted());
            awaitAnnounced(paused);
            m_server->setFaults({ .down = true, .downFor = "paused" });
            Announced later(m_context, m_options, wanted());
            awaitAnnounced(later);
            awaitRenewals(2);
            if (laterWithdraws)
                withdraw(later);
            m_server->setFaults({});
            runUntil(m_context, [&] { return paused.newer.has_value(); });
            CPPUNIT_ASSERT(*paused.newer == later.announced.front().token);
            CPPUNIT_ASSERT(!later.newer);
            const auto object = m_server->store().get(presenceKind, "board-1");
            CPPUNIT_ASSERT_EQUAL(laterWithdraws, !object.has_value());
            CPPUNIT_ASSERT(!object || parsePresence(*object->value)->token == later.announced.front().token);
        }
    }

    void racingAnnouncersGetDifferentIncarnations()
    {
        Announced first(m_context, m_options, wanted());
        Announced second(m_context, m_options, wanted());
        awaitAnnounced(first);
        awaitAnnounced(second);
        CPPUNIT_ASSERT(first.incarnation() != second.incarnation());
        runUntil(m_context, [&] { return first.newer || second.newer; });
        awaitRenewals(3);
        CPPUNIT_ASSERT(first.newer.has_value() == (first.incarnation() < second.incarnation()));
        CPPUNIT_ASSERT(second.newer.has_value() == (second.incarnation() < first.incarnation()));
    }

    // The announcement of a working upstream is deleted. It must be written again with the same incarnation, since the flows of
    // the upstream refer to it.
    void deletedAnnouncementIsWrittenAgain()
    {
        Announced announced(m_context, m_options, wanted());
        awaitAnnounced(announced);
        const auto object = m_server->store().get(presenceKind, "board-1");
        m_server->store().remove(presenceKind, "board-1", object->version);
        runUntil(m_context, [this] { return m_server->store().get(presenceKind, "board-1").has_value(); });
        CPPUNIT_ASSERT(parsePresence(*m_server->store().get(presenceKind, "board-1")->value) == announced.announced.front());
        CPPUNIT_ASSERT(!announced.newer);
    }

    // The platform is unavailable for longer than the lease, and no agent can renew. If the leases then lapsed, no upstream would
    // get a new flow. Here the watcher gets a response again before the agent does, so that the lease is not renewed yet.
    void leaseDoesNotLapseDuringOutage()
    {
        constexpr Millis lease = 1000;
        PlatformOptions options = m_options;
        options.client = "holder";
        Watched watched(m_context, m_options);
        const Announced announced(m_context, options, wanted(lease));
        runUntil(m_context, [&] { return watched.isOnly(MemberState::Serving); });
        const auto leaseListsBefore = countCalls("GET", "/objects/lease\"");
        runUntil(m_context, [&] { return countCalls("GET", "/objects/lease\"") >= leaseListsBefore + 2; });
        m_server->setFaults({ .down = true });
        runUntil(m_context, [&] { return watched.watcher.lastError() != PlatformError::None; });
        m_context.run_for(std::chrono::milliseconds(2 * lease));
        const unsigned reports = watched.reports;
        const auto leaseLists = countCalls("GET", "/objects/lease\"");
        m_server->setFaults({ .down = true, .downFor = "holder" });
        runUntil(m_context, [&] { return countCalls("GET", "/objects/lease\"") > leaseLists; });
        m_server->setFaults({});
        awaitRenewals(2);
        CPPUNIT_ASSERT(watched.isOnly(MemberState::Serving));
        CPPUNIT_ASSERT_EQUAL(reports, watched.reports);
    }

    // An agent with a short lease dies while the platform is available. Its upstream must soon be reported as lapsed and get no
    // new flow, although the watcher had no leases to check before the upstream joined. When another agent announces the
    // upstream, it must be reported as serving again.
    void leaseOfDeadAgentLapses()
    {
        Watched watched(m_context, m_options);
        auto announced = std::make_unique<Announced>(m_context, m_options, wanted(200));
        runUntil(m_context, [&] { return watched.isOnly(MemberState::Serving); });
        announced.reset();
        const auto leaseLists = countCalls("GET", "/objects/lease\"");
        const auto start = std::chrono::steady_clock::now();
        runUntil(m_context, [&] { return watched.isOnly(MemberState::Lapsed); });
        CPPUNIT_ASSERT(countCalls("GET", "/objects/lease\"") >= leaseLists + 2);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < std::chrono::seconds(7));
        const Announced later(m_context, m_options, wanted(200));
        runUntil(m_context, [&] { return watched.isOnly(MemberState::Serving); });
        CPPUNIT_ASSERT(watched.now.front().token == later.announced.front().token);
    }

    // One of thousands of linked agents dies. Listing all leases to check that agent's lease would be most of a balancer's
    // control traffic. Only the lease of an agent without a link may be read, and none while all agents are linked.
    void onlyLeasesOfUnlinkedAgentsAreRead()
    {
        bool isLinked = true;
        std::vector<Presence> now;
        const PresenceWatcher watcher(
            m_context, m_options, [&now](const std::vector<Presence>& presences) { now = presences; }, [&isLinked](const Presence&) { return !isLinked; });
        auto announced = std::make_unique<Announced>(m_context, m_options, wanted(200));
        awaitRenewals(4);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, now.size());
        announced.reset();
        const auto reads = countCalls("GET", "/objects/lease/");
        isLinked = false;
        runUntil(m_context, [&] { return !now.empty() && now.front().state == MemberState::Lapsed; });
        CPPUNIT_ASSERT(countCalls("GET", "/objects/lease/") > reads);
        isLinked = true;
        runUntil(m_context, [&] { return now.front().state == MemberState::Serving; });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, static_cast<std::size_t>(countCalls("GET", "/objects/lease\"")));
    }

    void withdrawalTimesOutDuringOutage()
    {
        Announced announced(m_context, m_options, wanted());
        awaitAnnounced(announced);
        m_server->setFaults({ .down = true, .hang = true });
        withdraw(announced, 100);
        m_server->setFaults({});
        CPPUNIT_ASSERT(m_server->store().get(presenceKind, "board-1").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestMembership);
