#include "libplatform/announcer.h"
#include "libplatform/leaserecord.h"
#include "libplatform/presencewatcher.h"
#include "platformfixture.h"

using namespace kingcuptrail;

class TestMembership : public PlatformFixture {
    CPPUNIT_TEST_SUITE(TestMembership);
    CPPUNIT_TEST(presenceIsReadBack);
    CPPUNIT_TEST(announcementIsSeenDrainedAndWithdrawn);
    CPPUNIT_TEST(lostAnswersGiveOneIncarnation);
    CPPUNIT_TEST(incarnationGrowsAcrossWithdrawal);
    CPPUNIT_TEST(pausedAnnouncerIsFenced);
    CPPUNIT_TEST(racingAnnouncersGetDifferentIncarnations);
    CPPUNIT_TEST(deletedAnnouncementIsWrittenAgain);
    CPPUNIT_TEST(leaseOutlastsAnOutage);
    CPPUNIT_TEST(leaseOfALostHolderLapses);
    CPPUNIT_TEST(withdrawalGivesUpInAnOutage);
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

    void presenceIsReadBack()
    {
        Presence presence = wanted();
        presence.token.incarnation = 4;
        presence.state = MemberState::Draining;
        CPPUNIT_ASSERT(parsePresence(toJson(presence)) == presence);
        for (const char* bad : { "", "{}", "[]", R"({"upstream":1})" })
            CPPUNIT_ASSERT(!parsePresence(bad));
    }

    void announcementIsSeenDrainedAndWithdrawn()
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

    // Each write of an announcement takes effect and its answer is lost. A second try with a new incarnation would fence
    // the process by itself; the read-back must find that the first stands.
    void lostAnswersGiveOneIncarnation()
    {
        m_server->setFaults({ .loseAnswers = 3 });
        Announced announced(m_context, m_options, wanted());
        awaitAnnounced(announced);
        awaitRenewals(3);
        CPPUNIT_ASSERT_EQUAL(Incarnation { 1 }, announced.incarnation());
        CPPUNIT_ASSERT(!announced.newer);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, announced.announced.size());
    }

    // An agent withdraws and another starts for the same upstream while packets of old flows still carry the first
    // incarnation. Given out again, it would make the second take them for its own.
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

    // An agent is stopped for longer than its lease (here: the platform is down for it alone), and another is started in
    // its place, and perhaps withdrawn again. When the first goes on it must hear that it is not the owner any more,
    // and must not announce what an old incarnation holds.
    void pausedAnnouncerIsFenced()
    {
        for (const bool laterLeaves : { false, true }) {
            PlatformOptions options = m_options;
            options.client = "paused";
            Announced paused(m_context, options, wanted());
            awaitAnnounced(paused);
            m_server->setFaults({ .down = true, .downFor = "paused" });
            Announced later(m_context, m_options, wanted());
            awaitAnnounced(later);
            awaitRenewals(2);
            if (laterLeaves)
                withdraw(later);
            m_server->setFaults({});
            runUntil(m_context, [&] { return paused.newer.has_value(); });
            CPPUNIT_ASSERT(*paused.newer == later.announced.front().token);
            CPPUNIT_ASSERT(!later.newer);
            const auto object = m_server->store().get(presenceKind, "board-1");
            CPPUNIT_ASSERT_EQUAL(laterLeaves, !object.has_value());
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

    // Somebody deletes the announcement of an upstream that works. It must come back, under the same incarnation, since
    // its flows hold that.
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

    // The platform is down for longer than the lease, and nobody can renew. If each lease then looked lapsed, no upstream
    // at all would get a new flow. The watcher is the first to get an answer again, and the holder has not renewed yet.
    void leaseOutlastsAnOutage()
    {
        constexpr Millis lease = 1000;
        PlatformOptions options = m_options;
        options.client = "holder";
        Watched watched(m_context, m_options);
        const Announced announced(m_context, options, wanted(lease));
        runUntil(m_context, [&] { return watched.isOnly(MemberState::Serving); });
        const auto looksBefore = countCalls("GET", "/objects/lease\"");
        runUntil(m_context, [&] { return countCalls("GET", "/objects/lease\"") >= looksBefore + 2; });
        m_server->setFaults({ .down = true });
        runUntil(m_context, [&] { return watched.watcher.lastReason() != PlatformError::None; });
        m_context.run_for(std::chrono::milliseconds(2 * lease));
        const unsigned reports = watched.reports;
        const auto looks = countCalls("GET", "/objects/lease\"");
        m_server->setFaults({ .down = true, .downFor = "holder" });
        runUntil(m_context, [&] { return countCalls("GET", "/objects/lease\"") > looks; });
        m_server->setFaults({});
        awaitRenewals(2);
        CPPUNIT_ASSERT(watched.isOnly(MemberState::Serving));
        CPPUNIT_ASSERT_EQUAL(reports, watched.reports);
    }

    // A holder with a short lease is gone for good while the platform answers: its upstream must get no new flow, and that
    // soon, though the watcher knew of no lease before. When another speaks for the upstream, it must.
    void leaseOfALostHolderLapses()
    {
        Watched watched(m_context, m_options);
        auto announced = std::make_unique<Announced>(m_context, m_options, wanted(200));
        runUntil(m_context, [&] { return watched.isOnly(MemberState::Serving); });
        announced.reset();
        const auto looks = countCalls("GET", "/objects/lease\"");
        const auto start = std::chrono::steady_clock::now();
        runUntil(m_context, [&] { return watched.isOnly(MemberState::Lapsed); });
        CPPUNIT_ASSERT(countCalls("GET", "/objects/lease\"") >= looks + 2);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < std::chrono::seconds(7));
        const Announced later(m_context, m_options, wanted(200));
        runUntil(m_context, [&] { return watched.isOnly(MemberState::Serving); });
        CPPUNIT_ASSERT(watched.now.front().token == later.announced.front().token);
    }

    void withdrawalGivesUpInAnOutage()
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
