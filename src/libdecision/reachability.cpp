#include "reachability.h"

namespace kingcuptrail {

// Load: an upstream without work is restarted within a tenth of a second; the next callers are on their way.
// Harm: at the first failure the agent still counts it as warm, and what comes before the second one is handed to a cold
// process all at once.
bool mayBeReplaced(const Reachability& state, bool isConnected)
{
    return isConnected == (state.failuresInRow > 0);
}

// Load: one upstream's process is down while the others of its service carry its share.
// Harm: its agent refuses everything at once, so it looks least loaded and balancers place more and more flows there.
// Limit: two failures in a row, since one falls into the moment in which a process is replaced; one accepted connection
// ends it, and the warm-up that follows keeps the upstream from being hit by what was waiting.
bool noteContact(Reachability& state, const ReachabilityOptions& options, bool isConnected)
{
    const bool wasReachable = state.isReachable;
    state.failuresInRow = isConnected ? 0 : state.failuresInRow + 1;
    if (isConnected)
        state.isReachable = true;
    else if (options.guard && state.failuresInRow >= options.failuresToLose)
        state.isReachable = false;
    return wasReachable != state.isReachable;
}

}
