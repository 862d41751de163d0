#include "reachability.h"

namespace kingcuptrail {

// An idle upstream can be restarted within a tenth of a second. After the first failed connection the agent still counts it
// as warm, and without this check the requests that arrive before the second failure would all go to a cold process at once.
bool mayBeReplaced(const Reachability& state, bool isConnected)
{
    return isConnected == (state.failuresInRow > 0);
}

// The agent of an upstream that is down refuses every request at once, so it looks least loaded and balancers would place
// more and more flows there. Two consecutive failures are needed, since a single one also occurs while a process is
// replaced. One accepted connection makes the upstream reachable again; the warm-up that follows protects it from the queued
// load.
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
