#include "reachability.h"

namespace kingcuptrail {

// An idle upstream can be restarted within a tenth of a second. After the first failed connection the agent still counts it
// as warm, and without this check the requests that arrive before the second failure would all go to a cold process at once.
bool indicatesReplacement(const Reachability& state, bool isConnected)
{
    return isConnected == (state.consecutiveFailures > 0);
}

// The agent of an upstream that is down refuses every request at once, so it looks least loaded and balancers would place
// more and more flows there. Two consecutive failures are needed, since a single one also occurs while a process is
// replaced. One accepted connection makes the upstream reachable again; the warm-up that follows protects it from the queued
// load.
bool recordConnectAttempt(Reachability& state, const ReachabilityOptions& options, bool isConnected)
{
    const bool wasReachable = state.isReachable;
    state.consecutiveFailures = isConnected ? 0 : state.consecutiveFailures + 1;
    if (isConnected)
        state.isReachable = true;
    else if (options.guard && state.consecutiveFailures >= options.failuresUntilUnreachable)
        state.isReachable = false;
    return wasReachable != state.isReachable;
}

}
