#pragma once

#include "ids.h"

namespace kingcuptrail {

struct PacingOptions {
    /// The interval while there are few links, in milliseconds.
    Millis baseInterval = 1000;
    /// One heartbeat on the wire, framing included.
    std::uint32_t bytesPerHeartbeat = 120;
    /// What heartbeats may take of a process's control traffic. Of 11 KB/s, the rest is for configuration and membership.
    std::uint32_t budgetBytesPerSecond = 6000;
    /// Heartbeats missed before a link is given up.
    std::uint32_t missed = 3;
};

/// The interval between heartbeats on each of `links` links, in milliseconds.
Millis heartbeatInterval(std::size_t links, const PacingOptions&);

/// How long a link may be silent before it is given up, in milliseconds, when its peer beats at `interval`.
Millis silenceLimit(Millis interval, const PacingOptions&);

/// Whether this process is one of about `copies` that push news to a peer at once, of the `links` that could. Each
/// decides by itself; together they are a share of copies / links, and all of them while there are few.
bool isPusher(std::uint64_t self, std::uint64_t peer, std::uint32_t links, std::uint32_t copies);

}
