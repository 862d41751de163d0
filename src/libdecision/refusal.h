#pragma once

#include "enumnames.h"
#include "ids.h"

namespace kingcuptrail {

/// Whether a refused request reached its upstream.
enum class Ran : std::uint8_t {
    No,
    Yes,
    Unknown,
};

template <>
struct EnumNames<Ran> {
    static constexpr std::array<std::string_view, 3> names { "notRun", "ran", "unknown" };
};

/// Why a request was refused or a flow was reset. The numbers travel on the wire: add at the end only.
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

/// The final answer to a request that was given up on.
struct RefusalVerdict {
    Ran ran = Ran::Unknown;
    RefusalReason reason = RefusalReason::None;
    /// How long the caller should wait before it comes back, in milliseconds; 0 means at once.
    Millis retryAfter = 0;
};

}
