#include "retry.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// Refusals that another try of the same request would get again.
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

    /// Refusals after which the flow can still be used.
    bool keepsFlow(RefusalReason reason)
    {
        return reason == RefusalReason::BodyCorrupt;
    }

    RetryVerdict noRetry(RetryReason reason)
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
        // A request of a silent flow may be sent again only because its new owner queries every earlier one before it runs
        // it.
        if (result.flowSilent && result.ran == Ran::Unknown)
            return RetryReason::FlowSilent;
        return RetryReason::MayHaveRun;
    }

    bool isRetried(RetryReason reason)
    {
        return reason == RetryReason::NotRun || reason == RetryReason::IdempotentLost || reason == RetryReason::FlowSilent;
    }

    // The retry delay in a refusal applies to the upstream that sent it, which may be the only one that is full or slow. A
    // caller that waited for the whole delay before it tries another upstream would miss its deadline while other upstreams
    // are idle. Only the first retry, for which the ranking selects another upstream, is sent earlier. If that is refused
    // too, all upstreams are loaded, and the requested delays are kept.
    Millis delayBeforeRetry(const RetryOptions& options, const RetryFacts& facts, const AttemptResult& result, bool newFlow)
    {
        const bool isFirstOnNewFlow = newFlow && facts.tries == 1;
        return isFirstOnNewFlow ? std::min(result.retryAfter, options.maxFirstRetryDelay) : result.retryAfter;
    }

}

void recordFirstTry(RetryBudget& budget, const RetryOptions& options)
{
    budget.tokens = std::min(budget.tokens + options.ratio, options.burst);
}

// In an overload or an outage most first tries fail, and unlimited retries would double the load so that the upstreams can't
// recover (a retry storm). A retry past its deadline is useless work. Retries are limited to a tenth of the first tries, the
// most that a system at 90 % utilisation can absorb. A burst of five covers the failure of one balancer as seen by a caller.
// The limit is four tries, since a fifth is unlikely to succeed after four failures.
RetryVerdict decideRetry(RetryBudget& budget, const RetryOptions& options, const RetryFacts& facts, const AttemptResult& result)
{
    const RetryReason reason = reasonToRetry(facts, result);
    if (!isRetried(reason))
        return noRetry(reason);
    if (facts.tries >= options.maxTries)
        return noRetry(RetryReason::AttemptsSpent);
    const bool newFlow = result.flowSilent || !keepsFlow(result.reason);
    const Millis delay = delayBeforeRetry(options, facts, result, newFlow);
    if (facts.now + delay + options.minTimeLeft > facts.deadline)
        return noRetry(RetryReason::DeadlineTooNear);
    if (budget.tokens < 1)
        return noRetry(RetryReason::BudgetEmpty);
    budget.tokens -= 1;
    return {
        .retry = true,
        .reason = reason,
        .delay = delay,
        .newFlow = newFlow,
        .nameEarlierOwners = !facts.idempotent,
    };
}

}
