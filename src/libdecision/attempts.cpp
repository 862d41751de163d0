#include "attempts.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    bool isNamed(const EarlierAttempts& earlier, const OwnerToken& owner)
    {
        return std::any_of(earlier.attempts.begin(), earlier.attempts.end(), [&](const EarlierAttempt& attempt) {
            return attempt.owner == owner;
        });
    }

    EarlierAttempt* findUnansweredAttempt(EarlierAttempts& earlier, const OwnerToken& owner)
    {
        for (EarlierAttempt& attempt : earlier.attempts) {
            if (attempt.owner == owner && !attempt.answer && !attempt.unreachable)
                return &attempt;
        }
        return nullptr;
    }

    AttemptsVerdict refuse(Ran ran, RefusalReason reason)
    {
        return { AttemptsDecision::Refuse, { .ran = ran, .reason = reason, .retryAfter = 0 } };
    }

    AttemptsVerdict decideAttempt(const EarlierAttempt& attempt)
    {
        if (attempt.unreachable)
            return refuse(Ran::Unknown, RefusalReason::EarlierAttemptUnknown);
        if (!attempt.answer)
            return { AttemptsDecision::Wait, {} };
        switch (*attempt.answer) {
        case LedgerState::NeverSeen:
        case LedgerState::NotRun:
        case LedgerState::Fenced:
            return { AttemptsDecision::Run, {} };
        case LedgerState::Running:
            return refuse(Ran::Unknown, RefusalReason::AlreadyRunning);
        case LedgerState::Ran:
            return refuse(Ran::Yes, RefusalReason::AlreadyRan);
        case LedgerState::Unknown:
            break;
        }
        return refuse(Ran::Unknown, RefusalReason::EarlierAttemptUnknown);
    }

    /// The precedence of a verdict: a request that is known to have run outranks an unknown outcome, and both outrank
    /// waiting.
    int precedenceOf(const AttemptsVerdict& verdict)
    {
        if (verdict.decision == AttemptsDecision::Run)
            return 0;
        if (verdict.decision == AttemptsDecision::Wait)
            return 1;
        return verdict.refusal.ran == Ran::Yes ? 3 : 2;
    }

}

EarlierAttempts collectEarlierAttempts(std::span<const OwnerToken> owners, const OwnerToken& ownToken)
{
    EarlierAttempts earlier;
    for (const OwnerToken& owner : owners) {
        if (owner == ownToken || !owner.isSet() || isNamed(earlier, owner))
            continue;
        earlier.tooMany = earlier.attempts.size() == maxEarlierAttempts;
        if (earlier.tooMany)
            break;
        earlier.attempts.push_back({ .owner = owner, .answer = std::nullopt, .unreachable = false });
    }
    return earlier;
}

void recordAnswer(EarlierAttempts& earlier, const OwnerToken& owner, LedgerState state)
{
    if (EarlierAttempt* attempt = findUnansweredAttempt(earlier, owner))
        attempt->answer = state;
}

void recordUnreachable(EarlierAttempts& earlier, const OwnerToken& owner)
{
    if (EarlierAttempt* attempt = findUnansweredAttempt(earlier, owner))
        attempt->unreachable = true;
}

// A non-idempotent request may be sent again on a new flow while the first owner runs it, has run it or can't be reached. To
// keep it from running twice, it runs here only if every earlier owner has promised that it neither ran the request nor will
// run it. After any other answer the request is refused with that owner's state.
AttemptsVerdict decideAttempts(const EarlierAttempts& earlier, const AttemptsOptions& options)
{
    AttemptsVerdict combined { AttemptsDecision::Run, {} };
    if (!options.guard)
        return combined;
    if (earlier.tooMany)
        return refuse(Ran::Unknown, RefusalReason::EarlierAttemptUnknown);
    for (const EarlierAttempt& attempt : earlier.attempts) {
        const AttemptsVerdict verdict = decideAttempt(attempt);
        if (precedenceOf(verdict) > precedenceOf(combined))
            combined = verdict;
    }
    return combined;
}

}
