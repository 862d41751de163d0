#pragma once

#include "enumnames.h"
#include "ids.h"

namespace kingcuptrail {

/// Whether a refused request was run by its upstream.
enum class Ran : std::uint8_t {
    No,
    Yes,
    Unknown,
};

template <>
struct EnumNames<Ran> {
    static constexpr std::array<std::string_view, 3> names { "notRun", "ran", "unknown" };
};

/// Why a request was refused or a flow was reset. The numbers are sent on the wire: append only.
enum class RefusalReason : std::uint8_t {
    None,
    QueueFull,
    ExpectedWaitTooLong,
    DeadlinePassed,
    UpstreamDraining,
    DataCentreOut,
    UnknownService,
    WrongService,
    NoUpstream,
    FlowUnknown,
    OwnerGone,
    NotOwner,
    UpstreamShed,
    UpstreamUnreachable,
    UpstreamLost,
    UpstreamTimeout,
    AlreadyRunning,
    AlreadyRan,
    EarlierAttemptUnknown,
    KeyFenced,
    Cancelled,
    BodyCorrupt,
    BodyTooLarge,
    TooManyFlows,
    FlowSilent,
    BadRequest,
};

template <>
struct EnumNames<RefusalReason> {
    static constexpr std::array<std::string_view, 26> names {
        "none",
        "queueFull",
        "expectedWaitTooLong",
        "deadlinePassed",
        "upstreamDraining",
        "dataCentreOut",
        "unknownService",
        "wrongService",
        "noUpstream",
        "flowUnknown",
        "ownerGone",
        "notOwner",
        "upstreamShed",
        "upstreamUnreachable",
        "upstreamLost",
        "upstreamTimeout",
        "alreadyRunning",
        "alreadyRan",
        "earlierAttemptUnknown",
        "keyFenced",
        "cancelled",
        "bodyCorrupt",
        "bodyTooLarge",
        "tooManyFlows",
        "flowSilent",
        "badRequest",
    };
};

/// The final answer to a refused request.
struct RefusalVerdict {
    Ran ran = Ran::Unknown;
    RefusalReason reason = RefusalReason::None;
    /// How long the caller should wait before a retry, in milliseconds; 0 means no wait.
    Millis retryAfter = 0;
};

}
