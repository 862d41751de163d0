#include "libdecision/attempts.h"
#include "libdecision/drain.h"
#include "libdecision/lease.h"
#include "libdecision/ledger.h"
#include "libdecision/pacing.h"
#include "libdecision/retry.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestWork : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestWork);
    CPPUNIT_TEST(duplicateKeyDoesNotRunAgain);
    CPPUNIT_TEST(queriedKeyNeverRunsLater);
    CPPUNIT_TEST(fullLedgerRefusesNewKeys);
    CPPUNIT_TEST(earlierAttemptsDecideWhetherToRun);
    CPPUNIT_TEST(onlySafeRequestsAreRetried);
    CPPUNIT_TEST(retriesStayWithinBudget);
    CPPUNIT_TEST(leaseCountsOnlyObservedTime);
    CPPUNIT_TEST(heartbeatsStayWithinBudget);
    CPPUNIT_TEST(drainCutsNoRequest);
    CPPUNIT_TEST_SUITE_END();

    const LedgerOptions m_options { .maxEntries = 4, .retention = 1000 };

    // The same non-idempotent request arrives twice over two balancers, and once more after each outcome.
    void duplicateKeyDoesNotRunAgain()
    {
        const struct {
            LedgerState outcome;
            BeginVerdict again;
        } rows[] = {
            { LedgerState::Ran, BeginVerdict::AlreadyRan },
            { LedgerState::Unknown, BeginVerdict::OutcomeUnknown },
            { LedgerState::NotRun, BeginVerdict::Run },
        };
        for (const auto& row : rows) {
            Ledger ledger;
            CPPUNIT_ASSERT(beginWork(ledger, m_options, "filing", 0) == BeginVerdict::Run);
            CPPUNIT_ASSERT(beginWork(ledger, m_options, "filing", 1) == BeginVerdict::AlreadyRunning);
            settleWork(ledger, m_options, "filing", row.outcome, 2);
            CPPUNIT_ASSERT(beginWork(ledger, m_options, "filing", 3) == row.again);
            const LedgerOptions off { .guard = false };
            CPPUNIT_ASSERT(beginWork(ledger, off, "filing", 4) == BeginVerdict::Run);
        }
        Ledger ledger;
        beginWork(ledger, m_options, "filing", 0);
        settleWork(ledger, m_options, "filing", LedgerState::Unknown, 1);
        settleWork(ledger, m_options, "filing", LedgerState::NotRun, 2);
        CPPUNIT_ASSERT(beginWork(ledger, m_options, "filing", 3) == BeginVerdict::OutcomeUnknown);
        settleWork(ledger, m_options, "filing", LedgerState::Ran, 4);
        CPPUNIT_ASSERT(beginWork(ledger, m_options, "filing", 5) == BeginVerdict::AlreadyRan);
    }

    // Guards against a request that runs twice. Its flow becomes silent, its caller sends it on a new flow, and the new
    // owner queries the old one; then the first packet arrives late.
    void queriedKeyNeverRunsLater()
    {
        Ledger ledger;
        CPPUNIT_ASSERT(queryAndFence(ledger, m_options, "late", 0) == LedgerState::NeverSeen);
        CPPUNIT_ASSERT(beginWork(ledger, m_options, "late", 1) == BeginVerdict::Fenced);
        CPPUNIT_ASSERT(queryAndFence(ledger, m_options, "late", 2) == LedgerState::Fenced);

        beginWork(ledger, m_options, "refused", 0);
        settleWork(ledger, m_options, "refused", LedgerState::NotRun, 1);
        CPPUNIT_ASSERT(queryAndFence(ledger, m_options, "refused", 2) == LedgerState::NotRun);
        CPPUNIT_ASSERT(beginWork(ledger, m_options, "refused", 3) == BeginVerdict::Fenced);

        beginWork(ledger, m_options, "queued", 0);
        CPPUNIT_ASSERT(queryAndFence(ledger, m_options, "queued", 1) == LedgerState::Running);
        settleWork(ledger, m_options, "queued", LedgerState::NotRun, 2);
        CPPUNIT_ASSERT(beginWork(ledger, m_options, "queued", 3) == BeginVerdict::Fenced);
    }

    // Guards against a key that runs twice because the ledger is full and has removed it.
    void fullLedgerRefusesNewKeys()
    {
        Ledger ledger;
        for (const char* key : { "a", "b", "c", "d" })
            beginWork(ledger, m_options, key, 0);
        settleWork(ledger, m_options, "a", LedgerState::Ran, 10);
        CPPUNIT_ASSERT(beginWork(ledger, m_options, "e", 1010) == BeginVerdict::Full);
        CPPUNIT_ASSERT(queryAndFence(ledger, m_options, "f", 1010) == LedgerState::Unknown);
        CPPUNIT_ASSERT(beginWork(ledger, m_options, "a", 1010) == BeginVerdict::AlreadyRan);
        CPPUNIT_ASSERT(beginWork(ledger, m_options, "e", 1011) == BeginVerdict::Run);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), expireLedger(ledger, m_options, 1000000));
        CPPUNIT_ASSERT(beginWork(ledger, m_options, "b", 1000000) == BeginVerdict::AlreadyRunning);
    }

    void earlierAttemptsDecideWhetherToRun()
    {
        const OwnerToken ownToken { 9, 1 };
        const std::vector<OwnerToken> owners { { 1, 1 }, ownToken, { 2, 1 }, { 1, 1 }, {} };
        using State = LedgerState;
        const struct {
            std::optional<LedgerState> first, second;
            AttemptsDecision decision;
            Ran ran = Ran::Unknown;
            RefusalReason reason = RefusalReason::None;
        } rows[] = {
            { {}, {}, AttemptsDecision::Wait },
            { State::NeverSeen, {}, AttemptsDecision::Wait },
            { State::NeverSeen, State::NotRun, AttemptsDecision::Run },
            { State::Fenced, State::Fenced, AttemptsDecision::Run },
            { {}, State::Ran, AttemptsDecision::Refuse, Ran::Yes, RefusalReason::AlreadyRan },
            { State::Unknown, State::Ran, AttemptsDecision::Refuse, Ran::Yes, RefusalReason::AlreadyRan },
            { State::Running, State::NeverSeen, AttemptsDecision::Refuse, Ran::Unknown, RefusalReason::AlreadyRunning },
            { State::Unknown, {}, AttemptsDecision::Refuse, Ran::Unknown, RefusalReason::EarlierAttemptUnknown },
        };
        for (const auto& row : rows) {
            EarlierAttempts earlier = collectEarlierAttempts(owners, ownToken);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), earlier.attempts.size());
            if (row.first)
                recordAnswer(earlier, { 1, 1 }, *row.first);
            if (row.second)
                recordAnswer(earlier, { 2, 1 }, *row.second);
            const AttemptsVerdict verdict = decideAttempts(earlier);
            CPPUNIT_ASSERT(verdict.decision == row.decision && verdict.refusal.reason == row.reason && verdict.refusal.ran == row.ran);
            CPPUNIT_ASSERT(decideAttempts(earlier, { .guard = false }).decision == AttemptsDecision::Run);
        }
        EarlierAttempts earlier = collectEarlierAttempts(owners, ownToken);
        recordUnreachable(earlier, { 1, 1 });
        recordAnswer(earlier, { 1, 1 }, State::NeverSeen);
        recordAnswer(earlier, { 2, 1 }, State::NeverSeen);
        CPPUNIT_ASSERT(decideAttempts(earlier).refusal.reason == RefusalReason::EarlierAttemptUnknown);
        earlier = collectEarlierAttempts(owners, ownToken);
        recordAnswer(earlier, { 1, 1 }, LedgerState::Ran);
        recordAnswer(earlier, { 1, 1 }, LedgerState::NeverSeen);
        recordAnswer(earlier, { 2, 1 }, LedgerState::NeverSeen);
        CPPUNIT_ASSERT(decideAttempts(earlier).refusal.reason == RefusalReason::AlreadyRan);
        std::vector<OwnerToken> many;
        for (UpstreamId upstream = 1; upstream <= maxEarlierAttempts + 1; ++upstream)
            many.push_back({ upstream, 1 });
        CPPUNIT_ASSERT(decideAttempts(collectEarlierAttempts(many, { 99, 1 })).decision == AttemptsDecision::Refuse);
        CPPUNIT_ASSERT(decideAttempts(collectEarlierAttempts({}, ownToken)).decision == AttemptsDecision::Run);
    }

    void onlySafeRequestsAreRetried()
    {
        const RetryFacts filing { .idempotent = false, .tries = 1, .deadline = 1000, .now = 0 };
        const RetryFacts query { .idempotent = true, .tries = 1, .deadline = 1000, .now = 0 };
        const RetryFacts fourth { .idempotent = true, .tries = 4, .deadline = 1000, .now = 0 };
        const RetryFacts late { .idempotent = true, .tries = 2, .deadline = 1000, .now = 900 };
        const struct {
            RetryFacts facts;
            AttemptResult result;
            RetryReason reason;
            Millis delay = 0;
            bool retry = false, newFlow = false, nameEarlierOwners = false;
        } rows[] = {
            { filing, { Ran::No, RefusalReason::QueueFull, 100 }, RetryReason::NotRun, 20, true, true, true },
            { filing, { Ran::No, RefusalReason::BodyCorrupt, 100 }, RetryReason::NotRun, 100, true, false, true },
            { filing, { Ran::Unknown, RefusalReason::UpstreamLost }, RetryReason::MayHaveRun },
            { filing, { Ran::Yes, RefusalReason::UpstreamTimeout }, RetryReason::MayHaveRun },
            { filing, { Ran::Unknown, RefusalReason::None, 0, true }, RetryReason::FlowSilent, 0, true, true, true },
            { filing, { Ran::Unknown, RefusalReason::EarlierAttemptUnknown, 0, true }, RetryReason::Final },
            { query, { Ran::Unknown, RefusalReason::UpstreamLost }, RetryReason::IdempotentLost, 0, true, true, false },
            { query, { Ran::No, RefusalReason::DeadlinePassed }, RetryReason::Final },
            { fourth, { Ran::No, RefusalReason::QueueFull }, RetryReason::AttemptsSpent },
            { late, { Ran::No, RefusalReason::QueueFull, 90 }, RetryReason::DeadlineTooNear },
        };
        for (const auto& row : rows) {
            RetryBudget budget { .tokens = 2 };
            const RetryVerdict verdict = decideRetry(budget, {}, row.facts, row.result);
            CPPUNIT_ASSERT_EQUAL(nameOf(row.reason), nameOf(verdict.reason));
            CPPUNIT_ASSERT(verdict.retry == row.retry && verdict.newFlow == row.newFlow && verdict.nameEarlierOwners == row.nameEarlierOwners);
            CPPUNIT_ASSERT_EQUAL(row.delay, verdict.delay);
            CPPUNIT_ASSERT_EQUAL(row.retry ? 1.0 : 2.0, budget.tokens);
        }
    }

    // Guards against a retry storm. While every first try fails, retries stay at a tenth of them plus the budget's burst.
    void retriesStayWithinBudget()
    {
        RetryBudget budget;
        const RetryFacts facts { .idempotent = true, .tries = 1, .deadline = 1000, .now = 0 };
        std::uint32_t retries = 0;
        for (int tries = 0; tries < 10000; ++tries) {
            recordFirstTry(budget, {});
            retries += decideRetry(budget, {}, facts, { Ran::No, RefusalReason::UpstreamUnreachable }).retry ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries >= 990 && retries <= 1005);
        CPPUNIT_ASSERT(decideRetry(budget, {}, facts, { Ran::No, RefusalReason::QueueFull }).reason == RetryReason::BudgetEmpty);
    }

    // Guards against leases that lapse because the platform is down for an hour or the observer is paused. A lease lapses if
    // its holder does not renew while the platform answers, and a newer incarnation fences the holder.
    void leaseCountsOnlyObservedTime()
    {
        LeaseView view = observeLease(10000, 5, 0);
        Millis now = 0;
        for (; now < 3600000; now += 500)
            addObservedTime(view, {}, false, now);
        CPPUNIT_ASSERT(!isLapsed(view));
        now += 60000;
        addObservedTime(view, {}, true, now);
        CPPUNIT_ASSERT(!isLapsed(view));
        recordRenewal(view, 5, now);
        CPPUNIT_ASSERT(view.timeSinceRenewal > 0);
        recordRenewal(view, 6, now);
        for (const Millis end = now + 9500; now < end; now += 500)
            addObservedTime(view, {}, true, now);
        CPPUNIT_ASSERT(!isLapsed(view));
        addObservedTime(view, {}, true, now += 500);
        addObservedTime(view, {}, true, now += 500);
        CPPUNIT_ASSERT(isLapsed(view));
        CPPUNIT_ASSERT(mayAcceptNewWork(3, std::nullopt) && mayAcceptNewWork(3, 3) && mayAcceptNewWork(3, 2) && !mayAcceptNewWork(3, 4));
    }

    void heartbeatsStayWithinBudget()
    {
        const PacingOptions options;
        for (const std::size_t links : { 0U, 1U, 10U, 50U, 700U, 4500U }) {
            const Millis interval = heartbeatInterval(links, options);
            CPPUNIT_ASSERT(interval >= options.baseInterval);
            CPPUNIT_ASSERT(links * options.bytesPerHeartbeat * 1000 <= options.budgetBytesPerSecond * static_cast<std::uint64_t>(interval));
            CPPUNIT_ASSERT(silenceLimit(interval, options) > 3 * interval);
        }
    }

    // Guards against a drain that cuts a feed or a query in transit. Idle flows are closed once the balancers know of the
    // drain.
    void drainCutsNoRequest()
    {
        const DrainOptions options { .announceGrace = 3000, .idleBeforeClose = 1000, .limit = 60000 };
        const DrainProgress announced { .startedAt = 0, .announced = true, .announcedAt = 100 };
        const DrainFlow feed { .idleSince = 0, .pending = 1 };
        const DrainFlow idle { .idleSince = 0 };
        const DrainFlow justUsed { .idleSince = 4900 };
        CPPUNIT_ASSERT(drainFlow(idle, { .startedAt = 0 }, options, 50000) == DrainFlowStep::Keep);
        CPPUNIT_ASSERT(drainFlow(idle, announced, options, 3099) == DrainFlowStep::Keep);
        CPPUNIT_ASSERT(drainFlow(idle, announced, options, 5000) == DrainFlowStep::CloseIdle);
        CPPUNIT_ASSERT(drainFlow(justUsed, announced, options, 5000) == DrainFlowStep::Keep);
        CPPUNIT_ASSERT(drainFlow(feed, announced, options, 50000) == DrainFlowStep::Keep);
        CPPUNIT_ASSERT(nextDrainStep({}, announced, options, 1000) == DrainStep::Wait);
        CPPUNIT_ASSERT(nextDrainStep({}, announced, options, 3100) == DrainStep::Done);
        CPPUNIT_ASSERT(nextDrainStep(std::span(&feed, 1), announced, options, 59999) == DrainStep::Wait);
        CPPUNIT_ASSERT(nextDrainStep(std::span(&feed, 1), announced, options, 60000) == DrainStep::LimitReached);
        CPPUNIT_ASSERT(nextDrainStep(std::span(&feed, 1), announced, {}, 9000000) == DrainStep::Wait);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestWork);
