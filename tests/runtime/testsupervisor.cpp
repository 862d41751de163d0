#include "libruntime/supervisor.h"

#include <asio/post.hpp>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

namespace {

/// Counts the children created in one test and keeps the last failure handler.
struct ChildRecord {
    int made = 0;
    int alive = 0;
    std::vector<std::chrono::steady_clock::time_point> madeAt;
    FailureHandler fail;
};

class FakeChild : public Supervised {
public:
    explicit FakeChild(ChildRecord& record)
        : m_record(record)
    {
        ++m_record.made;
        ++m_record.alive;
        m_record.madeAt.push_back(std::chrono::steady_clock::now());
    }
    ~FakeChild() override { --m_record.alive; }

    /// Reports a failure from within a member function and accesses its own members afterwards.
    void failInside(const FailureHandler& fail)
    {
        fail(ChildFailure::LinkLost);
        CPPUNIT_ASSERT(m_record.alive > 0);
    }

private:
    ChildRecord& m_record;
};

constexpr RestartPolicy quickRestarts { .firstDelay = 1, .maxDelay = 4, .stableAfter = 60000, .jitter = 0 };

}

class TestSupervisor : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestSupervisor);
    CPPUNIT_TEST(failedChildIsRestartedAlone);
    CPPUNIT_TEST(delayGrowsToItsLimitWithJitter);
    CPPUNIT_TEST(tooManyFailuresEscalate);
    CPPUNIT_TEST(removedChildIsNotRestarted);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context m_context;

    static ChildSpec spec(const std::string& name, ChildRecord& record, RestartPolicy policy = quickRestarts)
    {
        return { .name = name, .make = [&record](const FailureHandler& onFailure) {
                    record.fail = onFailure;
                    return std::make_unique<FakeChild>(record); }, .policy = policy };
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            m_context.restart();
            m_context.run_one_for(std::chrono::milliseconds(100));
        }
        CPPUNIT_ASSERT(condition());
    }

    // One link of a daemon fails while the other components work. Only that link may be restarted, and the failed child must
    // not be destroyed while the call that reported the failure is still running in it.
    void failedChildIsRestartedAlone()
    {
        ChildRecord broken;
        ChildRecord other;
        Supervisor root(m_context, "root");
        root.add(spec("broken", broken));
        root.add(spec("other", other));
        FakeChild(broken).failInside(broken.fail);
        CPPUNIT_ASSERT_EQUAL(1, broken.alive);
        broken.fail(ChildFailure::Internal);
        runUntil([&] { return broken.made == 3; });
        m_context.poll();
        CPPUNIT_ASSERT_EQUAL(1, broken.alive);
        CPPUNIT_ASSERT_EQUAL(1, other.made);
        const auto status = root.status();
        CPPUNIT_ASSERT_EQUAL(std::string("root/broken"), status[0].path);
        CPPUNIT_ASSERT_EQUAL(1U, status[0].restarts);
        CPPUNIT_ASSERT(status[0].isRunning && status[0].lastReason == ChildFailure::LinkLost);
    }

    void delayGrowsToItsLimitWithJitter()
    {
        ChildRecord record;
        Supervisor root(m_context, "root");
        auto policy = quickRestarts;
        policy.firstDelay = 8;
        policy.maxDelay = 32;
        policy.jitter = 0.5;
        root.add({ .name = "never", .make = [&](const FailureHandler& onFailure) {
                      onFailure(ChildFailure::BindFailed);
                      return std::make_unique<FakeChild>(record); }, .policy = policy });
        runUntil([&] { return record.made == 6; });
        constexpr std::array<int, 5> minDelayMillis { 4, 8, 16, 16, 16 };
        for (std::size_t index = 0; index < minDelayMillis.size(); ++index)
            CPPUNIT_ASSERT(record.madeAt[index + 1] - record.madeAt[index] >= std::chrono::milliseconds(minDelayMillis.at(index)));
    }

    // A listener repeatedly fails to bind its address. The failure must escalate to the supervisor above; otherwise the
    // daemon would appear to be running but accept no connection. That supervisor then restarts the whole group.
    void tooManyFailuresEscalate()
    {
        ChildRecord inner;
        int groups = 0;
        Supervisor root(m_context, "root");
        auto limited = quickRestarts;
        limited.maxFailures = 3;
        root.add({ .name = "links", .make = [&](const FailureHandler& onFailure) {
                      ++groups;
                      auto group = std::make_unique<Supervisor>(m_context, "links", onFailure);
                      group->add(spec("board-1", inner, limited));
                      return group; }, .policy = quickRestarts });
        CPPUNIT_ASSERT_EQUAL(std::string("root/links/board-1"), root.status()[1].path);
        for (int failures = 1; failures <= 3; ++failures) {
            CPPUNIT_ASSERT_EQUAL(1, groups);
            const int before = inner.made;
            inner.fail(ChildFailure::BindFailed);
            runUntil([&] { return inner.made > before; });
        }
        CPPUNIT_ASSERT_EQUAL(2, groups);
        m_context.poll();
        CPPUNIT_ASSERT_EQUAL(1, inner.alive);
        CPPUNIT_ASSERT(root.status()[0].lastReason == ChildFailure::ChildGaveUp);
    }

    void removedChildIsNotRestarted()
    {
        ChildRecord record;
        {
            Supervisor root(m_context, "root");
            root.add(spec("gone", record));
            const auto staleFail = record.fail;
            staleFail(ChildFailure::LinkLost);
            root.remove("gone");
            CPPUNIT_ASSERT(!root.contains("gone"));
            runUntil([&] { return record.alive == 0; });
            root.add(spec("gone", record));
            staleFail(ChildFailure::LinkLost);
            m_context.restart();
            m_context.poll();
            CPPUNIT_ASSERT_EQUAL(2, record.made);
            CPPUNIT_ASSERT_EQUAL(1, record.alive);
        }
        CPPUNIT_ASSERT_EQUAL(0, record.alive);
        record.fail(ChildFailure::LinkLost);
        m_context.poll();
        CPPUNIT_ASSERT_EQUAL(2, record.made);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSupervisor);
