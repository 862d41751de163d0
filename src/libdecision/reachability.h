#pragma once

#include <cstdint>

namespace kingcuptrail {

struct ReachabilityOptions {
    /// Consecutive connection failures after which the upstream counts as unreachable.
    std::uint32_t failuresUntilUnreachable = 2;
    /// Test only: when off, the upstream always counts as reachable.
    bool guard = true;
};

/// Whether the upstream accepts connections, as observed by its agent.
struct Reachability {
    std::uint32_t consecutiveFailures = 0;
    bool isReachable = true;
};

/// Whether this outcome of a connection attempt indicates that the upstream's process has ended or was replaced. In both
/// cases the next process that answers is cold. To be called before recordConnectAttempt() for the same attempt.
bool indicatesReplacement(const Reachability&, bool isConnected);

/// Records a connection attempt. Returns true if it changes whether the upstream counts as reachable.
bool recordConnectAttempt(Reachability&, const ReachabilityOptions&, bool isConnected);

}
