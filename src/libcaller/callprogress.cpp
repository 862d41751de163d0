#include "callprogress.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    constexpr Millis maxDeadlineMargin = 50;
    constexpr Millis deadlineMarginDivisor = 10;

}

Millis agentDeadline(Millis left)
{
    return std::max<Millis>(1, left - std::min(maxDeadlineMargin, left / deadlineMarginDivisor));
}

AttemptResult attemptLostWithFlow(RefusalReason reason, Millis retryAfter, bool bodySent)
{
    return { .ran = bodySent ? Ran::Unknown : Ran::No, .reason = reason, .retryAfter = retryAfter, .flowSilent = bodySent };
}

RetryVerdict recordTryEnd(CallProgress& progress, RetryBudget& budget, const RetryOptions& options, const AttemptResult& result,
    const OwnerToken& owner, Millis now)
{
    if (result.ran != Ran::No) {
        progress.mayHaveRun = true;
        if (!progress.idempotent && owner.isSet() && std::ranges::find(progress.earlier, owner) == progress.earlier.end())
            progress.earlier.push_back(owner);
    }
    // A stream of which part was delivered cannot be restarted: its reader would see the beginning twice.
    if (progress.streamBegan)
        return {};
    const RetryFacts facts { .idempotent = progress.idempotent, .tries = progress.tries, .deadline = progress.deadline, .now = now };
    return decideRetry(budget, options, facts, result);
}

CallOutcome outcomeAfter(const CallProgress& progress, const AttemptResult& last)
{
    if (progress.streamBegan)
        return CallOutcome::StreamBroken;
    if (last.ran == Ran::Yes)
        return CallOutcome::RefusedRan;
    // This owner did not run the request, but an earlier owner whose flow was lost may have run it.
    if (last.ran == Ran::No && !progress.mayHaveRun)
        return CallOutcome::RefusedNotRun;
    return CallOutcome::OutcomeUnknown;
}

CallOutcome outcomeOfAbandonedCall(const CallProgress& progress, bool byDeadline, bool bodySent)
{
    const bool mayHaveRun = progress.mayHaveRun || bodySent;
    if (!progress.idempotent && mayHaveRun)
        return CallOutcome::OutcomeUnknown;
    if (!byDeadline)
        return CallOutcome::Cancelled;
    return mayHaveRun ? CallOutcome::DeadlinePassed : CallOutcome::RefusedNotRun;
}

}
