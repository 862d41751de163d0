#pragma once

#include <cstdint>

namespace kingcuptrail {

struct ReachabilityOptions {
    /// Connections that must fail in a row before the upstream counts as unreachable.
    std::uint32_t failuresToLose = 2;
    /// Test only: off, the upstream always counts as reachable.
    bool guard = true;
};

/// Whether connections to the upstream are accepted at all, as its agent has seen itself.
struct Reachability {
    std::uint32_t failuresInRow = 0;
    bool isReachable = true;
};

/// Whether an attempt to connect that ends like this shows that the upstream's process has ended or that another one has taken
/// its place. Either way the process that answers next is cold. Asked before the attempt is noted.
bool mayBeReplaced(const Reachability&, bool isConnected);

/// Takes note of one attempt to connect; true when it changes whether the upstream counts as reachable.
bool noteContact(Reachability&, const ReachabilityOptions&, bool isConnected);

}
