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

/// Takes note of one attempt to connect; true when it changes whether the upstream counts as reachable.
bool noteContact(Reachability&, const ReachabilityOptions&, bool isConnected);

}
