#pragma once

#include "libdecision/retry.h"

#include <string>
#include <vector>

namespace kingcuptrail {

/// The final outcome of a request, as reported to its end user.
enum class CallOutcome : std::uint8_t {
    /// The complete answer arrived; its status is the upstream's.
    AnswerWhole,
    /// Refused; the request did not run.
    RefusedNotRun,
    /// The request ran, but its answer is not available.
    RefusedRan,
    /// The request may or may not have run.
    OutcomeUnknown,
    /// An idempotent request was not answered before its deadline.
    DeadlinePassed,
    /// A stream ended without its end marker.
    StreamBroken,
    /// Cancelled by the end user.
    Cancelled,
};

template <>
struct EnumNames<CallOutcome> {
    static constexpr std::array<std::string_view, 7> names {
        "answerWhole",
        "refusedNotRun",
        "refusedRan",
        "outcomeUnknown",
        "deadlinePassed",
        "streamBroken",
        "cancelled",
    };
};

/// The final result of a call.
struct CallResult {
    CallOutcome outcome = CallOutcome::OutcomeUnknown;
    /// The reason of the last refusal.
    RefusalReason reason = RefusalReason::None;
    int status = 0;
    std::string body;
    std::uint32_t tries = 0;
    /// The owner that sent the last answer or refusal.
    OwnerToken owner;
    /// Time from the start of the call to its result, in milliseconds.
    Millis elapsed = 0;
    /// Delay before another attempt, as requested by the last refusal, in milliseconds.
    Millis retryAfter = 0;
};

/// State of a call that is kept over all its tries.
struct CallProgress {
    bool idempotent = true;
    Millis deadline = 0;
    std::uint32_t tries = 0;
    /// Whether any try may have run at an upstream.
    bool mayHaveRun = false;
    /// Whether part of a stream has been delivered.
    bool streamBegan = false;
    /// Owners that may have run the request; the owner of the next try queries them before it runs the request.
    std::vector<OwnerToken> earlier;
};

/// The deadline passed to an agent when `left` milliseconds remain. It is shorter than `left`, so that the agent's final
/// answer, which states whether the request ran, arrives before the caller has to report an unknown outcome.
Millis agentDeadline(Millis left);

/// The result of a try whose flow ended. `bodySent` is whether the whole request had been passed to the flow: an agent
/// runs a request only when its body is complete and matches its hash, so a request that was not fully sent has not run.
AttemptResult attemptLostWithFlow(RefusalReason reason, Millis retryAfter, bool bodySent);

/// Decides whether a try that ended without an answer is retried, and updates the state for later tries.
RetryVerdict recordTryEnd(CallProgress&, RetryBudget&, const RetryOptions&, const AttemptResult&, const OwnerToken& owner, Millis now);

/// The outcome of a call when no further try follows `last`.
CallOutcome outcomeAfter(const CallProgress&, const AttemptResult& last);

/// The outcome of a call that ends now, at its deadline or because the end user cancelled it. Later answers do not change
/// it. `bodySent` is whether the current try had sent its whole request.
CallOutcome outcomeOfAbandonedCall(const CallProgress&, bool byDeadline, bool bodySent);

}
