#pragma once

#include "libdecision/retry.h"

#include <string>
#include <vector>

namespace kingcuptrail {

/// What became of a request, as its end user may rely on it.
enum class CallOutcome : std::uint8_t {
    /// The answer arrived whole; its status is the upstream's.
    AnswerWhole,
    /// Refused, and nothing of it reached an upstream.
    RefusedNotRun,
    /// It ran, and there is no answer to deliver.
    RefusedRan,
    /// It may have run.
    OutcomeUnknown,
    /// An idempotent request that was not answered in time.
    DeadlinePassed,
    /// A stream ended without its end mark.
    StreamBroken,
    /// The end user gave it up.
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

/// The final result of one call.
struct CallResult {
    CallOutcome outcome = CallOutcome::OutcomeUnknown;
    /// Of the last refusal.
    RefusalReason reason = RefusalReason::None;
    int status = 0;
    std::string body;
    std::uint32_t tries = 0;
    /// The owner that answered or refused last.
    OwnerToken owner;
    /// From the call to its result, in milliseconds.
    Millis elapsed = 0;
    /// When to come back, in milliseconds, as the last refusal asked.
    Millis retryAfter = 0;
};

/// One call over all its tries.
struct CallProgress {
    bool idempotent = true;
    Millis deadline = 0;
    std::uint32_t tries = 0;
    /// Whether any try may have reached an upstream.
    bool mayHaveRun = false;
    /// Whether the caller has seen part of a stream.
    bool streamBegan = false;
    /// Owners that may have run it, to be asked by the next one.
    std::vector<OwnerToken> earlier;
};

/// Time kept back from the deadline that an agent is given, in milliseconds: its final answer, which knows whether the
/// request ran, then still arrives before the caller must give up and say "unknown".
Millis agentDeadline(Millis left);

/// How a try ended that was cut off with its flow. `bodySent` tells whether the whole request was handed to the flow: an
/// agent runs nothing before the body is whole and its hash agrees, so a request cut off earlier has not run.
AttemptResult attemptLostWithFlow(RefusalReason reason, Millis retryAfter, bool bodySent);

/// Decides on a try that ended without an answer and notes what it means for later ones.
RetryVerdict noteTryEnd(CallProgress&, RetryBudget&, const RetryOptions&, const AttemptResult&, const OwnerToken& owner, Millis now);

/// The outcome when no further try is made after `last`.
CallOutcome outcomeAfter(const CallProgress&, const AttemptResult& last);

/// The outcome when the call ends here, at its deadline or because the end user gave it up, whatever arrives later.
/// `bodySent` is of the try under way.
CallOutcome outcomeGivenUp(const CallProgress&, bool byDeadline, bool bodySent);

}
