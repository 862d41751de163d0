#pragma once

#include <cstdint>
#include <functional>

namespace kingcuptrail {

/// A length of time or a point on a monotonic clock, in milliseconds.
using Millis = std::int64_t;

/// Identifies one flow; chosen at random by the caller.
using FlowId = std::uint64_t;

/// Identifies one upstream: the hash of its configured name, never 0.
using UpstreamId = std::uint64_t;

/// Counts the agent processes of one upstream. Assigned by a conditional update on the platform, never 0.
using Incarnation = std::uint64_t;

/// The address end users connect to: IPv4 address << 16 | port.
using ServiceAddress = std::uint64_t;

/// The version of an accepted configuration. Each accepted configuration has a larger version than the one before.
using ConfigVersion = std::uint64_t;

/// Identifies the process that owns a flow. A packet with a token needs no lookup of the flow.
struct OwnerToken {
    UpstreamId upstream = 0;
    Incarnation incarnation = 0;

    bool isSet() const { return upstream != 0; }
    bool operator==(const OwnerToken&) const = default;
    bool operator<(const OwnerToken& other) const
    {
        return upstream != other.upstream ? upstream < other.upstream : incarnation < other.incarnation;
    }
};

}

template <>
struct std::hash<kingcuptrail::OwnerToken> {
    std::size_t operator()(const kingcuptrail::OwnerToken& token) const noexcept
    {
        return std::hash<std::uint64_t>()(token.upstream * 0x9e3779b97f4a7c15ULL ^ token.incarnation);
    }
};
