#include "libcaller/callprogress.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

namespace {

constexpr OwnerToken first { .upstream = 1, .incarnation = 1 };
constexpr OwnerToken second { .upstream = 2, .incarnation = 1 };

/// A call with a full retry budget.
struct TestCall {
    explicit TestCall(bool idempotent)
    {
        progress.idempotent = idempotent;
        progress.deadline = 10000;
        budget.tokens = options.burst;
    }

    bool retries(const AttemptResult& result, const OwnerToken& owner)
    {
        ++progress.tries;
        last = result;
        return recordTryEnd(progress, budget, options, result, owner, 100).retry;
    }

    CallOutcome outcome() const { return outcomeAfter(progress, last); }

    CallProgress progress;
    RetryBudget budget;
    RetryOptions options;
    AttemptResult last;
};

constexpr AttemptResult refused(Ran ran, RefusalReason reason)
{
    return { .ran = ran, .reason = reason };
}

}

class TestCallProgress : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestCallProgress);
    CPPUNIT_TEST(requestNotRunIsRetried);
    CPPUNIT_TEST(retryListsEarlierOwners);
    CPPUNIT_TEST(incompleteRequestHasNotRun);
    CPPUNIT_TEST(laterNotRunDoesNotCoverAnEarlierOwner);
    CPPUNIT_TEST(startedStreamIsNotRestarted);
    CPPUNIT_TEST(outcomesOfAbandonedCalls);
    CPPUNIT_TEST(agentGetsAShorterDeadline);
    CPPUNIT_TEST_SUITE_END();

    void requestNotRunIsRetried()
    {
        TestCall filing(false);
        CPPUNIT_ASSERT(filing.retries(refused(Ran::No, RefusalReason::QueueFull), first));
        CPPUNIT_ASSERT(filing.progress.earlier.empty());
        CPPUNIT_ASSERT(filing.outcome() == CallOutcome::RefusedNotRun);
        CPPUNIT_ASSERT(!filing.retries(refused(Ran::Yes, RefusalReason::AlreadyRan), first));
        CPPUNIT_ASSERT(filing.outcome() == CallOutcome::RefusedRan);
    }

    // A request that is not idempotent was sent completely when its flow went silent. Its owner may have run it, so every
    // later try must list that owner as an earlier one; otherwise the request could run twice.
    void retryListsEarlierOwners()
    {
        TestCall filing(false);
        CPPUNIT_ASSERT(filing.retries(attemptLostWithFlow(RefusalReason::FlowSilent, 0, true), first));
        CPPUNIT_ASSERT((filing.progress.earlier == std::vector<OwnerToken> { first }));
        CPPUNIT_ASSERT(filing.retries(attemptLostWithFlow(RefusalReason::OwnerGone, 0, true), second));
        CPPUNIT_ASSERT((filing.progress.earlier == std::vector<OwnerToken> { first, second }));
        CPPUNIT_ASSERT(!filing.retries(refused(Ran::Unknown, RefusalReason::EarlierAttemptUnknown), second));
        CPPUNIT_ASSERT(filing.outcome() == CallOutcome::OutcomeUnknown);
        TestCall refusedUnknown(false);
        CPPUNIT_ASSERT(!refusedUnknown.retries(refused(Ran::Unknown, RefusalReason::UpstreamLost), first));
    }

    void incompleteRequestHasNotRun()
    {
        TestCall filing(false);
        CPPUNIT_ASSERT(filing.retries(attemptLostWithFlow(RefusalReason::OwnerGone, 0, false), first));
        CPPUNIT_ASSERT(filing.progress.earlier.empty());
        CPPUNIT_ASSERT(filing.outcome() == CallOutcome::RefusedNotRun);
    }

    // A request is lost with its flow, and its retry is refused as not run because the second upstream's queue is full. The
    // first owner may have run it: if the outcome were "not run", the end user would repeat it and it could run twice.
    void laterNotRunDoesNotCoverAnEarlierOwner()
    {
        TestCall filing(false);
        filing.retries(attemptLostWithFlow(RefusalReason::FlowSilent, 0, true), first);
        filing.retries(refused(Ran::No, RefusalReason::QueueFull), second);
        CPPUNIT_ASSERT(filing.outcome() == CallOutcome::OutcomeUnknown);
        CPPUNIT_ASSERT(outcomeOfAbandonedCall(filing.progress, true, false) == CallOutcome::OutcomeUnknown);
    }

    void startedStreamIsNotRestarted()
    {
        TestCall feed(true);
        feed.progress.streamBegan = true;
        CPPUNIT_ASSERT(!feed.retries(attemptLostWithFlow(RefusalReason::OwnerGone, 0, true), first));
        CPPUNIT_ASSERT(feed.outcome() == CallOutcome::StreamBroken);
    }

    void outcomesOfAbandonedCalls()
    {
        struct Row {
            bool idempotent;
            bool byDeadline;
            bool bodySent;
            CallOutcome outcome;
        };
        constexpr Row rows[] {
            { true, true, true, CallOutcome::DeadlinePassed },
            { true, true, false, CallOutcome::RefusedNotRun },
            { true, false, true, CallOutcome::Cancelled },
            { false, true, true, CallOutcome::OutcomeUnknown },
            { false, true, false, CallOutcome::RefusedNotRun },
            { false, false, true, CallOutcome::OutcomeUnknown },
            { false, false, false, CallOutcome::Cancelled },
        };
        for (const Row& row : rows)
            CPPUNIT_ASSERT(outcomeOfAbandonedCall(TestCall(row.idempotent).progress, row.byDeadline, row.bodySent) == row.outcome);
    }

    void agentGetsAShorterDeadline()
    {
        CPPUNIT_ASSERT_EQUAL(Millis { 9950 }, agentDeadline(10000));
        CPPUNIT_ASSERT_EQUAL(Millis { 90 }, agentDeadline(100));
        CPPUNIT_ASSERT_EQUAL(Millis { 1 }, agentDeadline(-5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCallProgress);
