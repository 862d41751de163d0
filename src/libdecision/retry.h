#pragma once

#include "refusal.h"

namespace kingcuptrail {

/// Why a request is tried again, or why it is not. Each is counted.
enum class RetryReason : std::uint8_t {
    /// Tried again: nothing of it reached an upstream.
    NotRun,
    /// Tried again: the outcome is lost, and running it twice does no harm.
    IdempotentLost,
    /// Tried again on a new flow that names this one; the new owner asks before it runs.
    FlowSilent,
    /// Not tried again: it may have run.
    MayHaveRun,
    /// Not tried again: the same answer would come.
    Final,
    /// Not tried again: the deadline would pass first.
    DeadlineTooNear,
    /// Not tried again: tried often enough.
    AttemptsSpent,
    /// Not tried again: too many retries for the first tries of late.
    BudgetEmpty,
};

template <>
struct EnumNames<RetryReason> {
    static constexpr std::array<std::string_view, 8> names {
        "notRun",
        "idempotentLost",
        "flowSilent",
        "mayHaveRun",
        "final",
        "deadlineTooNear",
        "attemptsSpent",
        "budgetEmpty",
    };
};

struct RetryOptions {
    /// Retries for each first try, in the long run.
    double ratio = 0.1;
    /// Retries at once at most, after a quiet time.
    double burst = 5;
    /// Tries of one request at most, the first included.
    std::uint32_t maxTries = 4;
    /// The longest wait before the first retry on a new flow, in milliseconds.
    Millis firstRetryWait = 20;
    /// Time a retry needs to be worth it, in milliseconds.
    Millis leastTimeLeft = 20;
};

/// A token bucket that first tries fill and retries empty.
struct RetryBudget {
    double tokens = 1;
};

/// Counts a first try.
void noteFirstTry(RetryBudget&, const RetryOptions&);

/// How one try of a request ended without an answer.
struct AttemptResult {
    Ran ran = Ran::Unknown;
    RefusalReason reason = RefusalReason::None;
    /// What the refusal asks the caller to wait, in milliseconds.
    Millis retryAfter = 0;
    /// The flow was given up as silent; the request's outcome is unknown to the caller.
    bool flowSilent = false;
};

/// The request that was tried.
struct RetryFacts {
    bool idempotent = false;
    /// Tries made so far.
    std::uint32_t tries = 1;
    Millis deadline = 0;
    Millis now = 0;
};

struct RetryVerdict {
    bool retry = false;
    RetryReason reason = RetryReason::Final;
    /// Wait this long first, in milliseconds.
    Millis delay = 0;
    /// Use a new flow, which the ranking takes elsewhere.
    bool newFlow = false;
    /// The new request must name every earlier owner.
    bool nameEarlier = false;
};

/// Decides on a try that ended without an answer; a retry is taken out of the budget.
RetryVerdict decideRetry(RetryBudget&, const RetryOptions&, const RetryFacts&, const AttemptResult&);

}
