#pragma once

#include "ids.h"

namespace kingcuptrail {

struct PacingOptions {
    /// The heartbeat interval with few links, in milliseconds.
    Millis baseInterval = 1000;
    /// The size of one heartbeat on the wire, framing included.
    std::uint32_t bytesPerHeartbeat = 120;
    /// The share of heartbeats in a process's control traffic. Of 11 KB/s, the rest is left for configuration and
    /// membership.
    std::uint32_t budgetBytesPerSecond = 6000;
    /// The number of lost heartbeats after which a link is closed.
    std::uint32_t missedHeartbeats = 3;
};

/// The interval between heartbeats on each of `links` links, in milliseconds.
Millis heartbeatInterval(std::size_t links, const PacingOptions&);

/// How long a link may be silent before it is closed, in milliseconds, if its peer sends heartbeats at `interval`.
Millis silenceLimit(Millis interval, const PacingOptions&);

/// Whether this process is one of about `copies` processes that push an update to a peer, out of the `links` that could.
/// Each process decides for itself with a probability of copies / links; with few links all of them push.
bool isSelectedToPush(std::uint64_t self, std::uint64_t peer, std::uint32_t links, std::uint32_t copies);

}
