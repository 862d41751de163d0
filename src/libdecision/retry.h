#pragma once

#include "refusal.h"

namespace kingcuptrail {

/// Why a request is retried or not. Each reason is counted.
enum class RetryReason : std::uint8_t {
    /// Retried: nothing of it reached an upstream.
    NotRun,
    /// Retried: the outcome is lost, but the request is idempotent.
    IdempotentLost,
    /// Retried on a new flow that names this one; the new owner queries the old one before it runs the request.
    FlowSilent,
    /// Not retried: it may have run.
    MayHaveRun,
    /// Not retried: the answer would be the same.
    Final,
    /// Not retried: the deadline would pass first.
    DeadlineTooNear,
    /// Not retried: the maximum number of attempts is reached.
    AttemptsSpent,
    /// Not retried: there were too many retries in relation to recent first tries.
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
    /// Retries allowed for each first try in the long run.
    double ratio = 0.1;
    /// The maximum number of retries in a burst.
    double burst = 5;
    /// The maximum number of tries of one request, including the first.
    std::uint32_t maxTries = 4;
    /// The maximum delay of the first retry on a new flow, in milliseconds.
    Millis maxFirstRetryDelay = 20;
    /// A retry must leave at least this much time before the deadline, in milliseconds.
    Millis minTimeLeft = 20;
};

/// A token bucket: first tries add tokens and retries take them.
struct RetryBudget {
    double tokens = 1;
};

/// Adds the tokens of a first try.
void recordFirstTry(RetryBudget&, const RetryOptions&);

/// How one try of a request ended without an answer.
struct AttemptResult {
    Ran ran = Ran::Unknown;
    RefusalReason reason = RefusalReason::None;
    /// The retry delay in the refusal, in milliseconds.
    Millis retryAfter = 0;
    /// The flow was closed as silent, and the caller does not know the request's outcome.
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
    /// The delay before the retry, in milliseconds.
    Millis delay = 0;
    /// Use a new flow, for which the ranking selects another upstream.
    bool newFlow = false;
    /// The new request must name all earlier owners.
    bool nameEarlierOwners = false;
};

/// Decides whether to retry after a try that ended without an answer. A retry takes a token from the budget.
RetryVerdict decideRetry(RetryBudget&, const RetryOptions&, const RetryFacts&, const AttemptResult&);

}
