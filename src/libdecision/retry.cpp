#include "retry.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// Refusals that a second try of the same request would get again.
    bool isFinal(RefusalReason reason)
    {
        switch (reason) {
        case RefusalReason::DeadlinePassed:
        case RefusalReason::UnknownService:
        case RefusalReason::AlreadyRunning:
        case RefusalReason::AlreadyRan:
        case RefusalReason::EarlierAttemptUnknown:
        case RefusalReason::Cancelled:
        case RefusalReason::BodyTooLarge:
        case RefusalReason::BadRequest:
            return true;
        default:
            return false;
        }
    }

    /// Refusals that leave the flow as good as it was.
    bool flowStays(RefusalReason reason)
    {
        return reason == RefusalReason::BodyCorrupt;
    }

    RetryVerdict giveUp(RetryReason reason)
    {
        return { .retry = false, .reason = reason };
    }

    RetryReason reasonToRetry(const RetryFacts& facts, const AttemptResult& result)
    {
        if (isFinal(result.reason))
            return RetryReason::Final;
        if (result.ran == Ran::No)
            return RetryReason::NotRun;
        if (facts.idempotent)
            return RetryReason::IdempotentLost;
        // A silent flow's request may go again only because its new owner asks every earlier one before it runs.
        if (result.flowSilent && result.ran == Ran::Unknown)
            return RetryReason::FlowSilent;
        return RetryReason::MayHaveRun;
    }

    bool isRetried(RetryReason reason)
    {
        return reason == RetryReason::NotRun || reason == RetryReason::IdempotentLost || reason == RetryReason::FlowSilent;
    }

    // Load: one upstream of several is full or slow.
    // Harm: the time it asks its callers to wait is its own; a caller that keeps to it before going elsewhere misses its
    // deadline while other upstreams stand idle.
    // Limit: only the first retry, which the ranking takes elsewhere, goes early; if that is refused too, the load is
    // everywhere, and the times asked for are kept.
    Millis waitBefore(const RetryOptions& options, const RetryFacts& facts, const AttemptResult& result, bool newFlow)
    {
        const bool mayHurry = newFlow && facts.tries == 1;
        return mayHurry ? std::min(result.retryAfter, options.firstRetryWait) : result.retryAfter;
    }

}

void noteFirstTry(RetryBudget& budget, const RetryOptions& options)
{
    budget.tokens = std::min(budget.tokens + options.ratio, options.burst);
}

// Load: an overload or an outage, in which most first tries fail.
// Harm: with retries at will the load doubles just when it cannot be borne, and the upstreams cannot recover (a retry
// storm); a retry past its deadline is work for nobody.
// Limit: a tenth of the first tries, the most that a system run at 90 % can absorb; a burst of five covers one balancer's
// death as a caller sees it. Four tries: the chance that the fifth succeeds where four did not is small.
RetryVerdict decideRetry(RetryBudget& budget, const RetryOptions& options, const RetryFacts& facts, const AttemptResult& result)
{
    const RetryReason reason = reasonToRetry(facts, result);
    if (!isRetried(reason))
        return giveUp(reason);
    if (facts.tries >= options.maxTries)
        return giveUp(RetryReason::AttemptsSpent);
    const bool newFlow = result.flowSilent || !flowStays(result.reason);
    const Millis delay = waitBefore(options, facts, result, newFlow);
    if (facts.now + delay + options.leastTimeLeft > facts.deadline)
        return giveUp(RetryReason::DeadlineTooNear);
    if (budget.tokens < 1)
        return giveUp(RetryReason::BudgetEmpty);
    budget.tokens -= 1;
    return {
        .retry = true,
        .reason = reason,
        .delay = delay,
        .newFlow = newFlow,
        .nameEarlier = !facts.idempotent,
    };
}

}
