#include "pausewatch.h"

namespace kingcuptrail {

// Failure: a process is stopped, its data centre is taken out meanwhile, and when it goes on it reads the packets that
// waited on its links before the news that waited behind them: an upstream of a data centre that is out gets work, or a
// balancer sends to one. So after a pause it first reads what there is, and drops packets; their senders send again.
void noteRunning(PauseWatch& watch, const PauseOptions& options, Millis now)
{
    const bool wasPaused = watch.lastRun && now - *watch.lastRun > options.longestGap;
    watch.lastRun = now;
    if (wasPaused && options.guard)
        watch.holdUntil = now + options.hold;
}

bool holdsPackets(const PauseWatch& watch, Millis now)
{
    return now < watch.holdUntil;
}

}
