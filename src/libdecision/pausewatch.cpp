#include "pausewatch.h"

namespace kingcuptrail {

// If a process is paused while its data centre is taken out of service, it then reads the packets queued on its links
// before the state change queued behind them. An upstream of that data centre would get work, or a balancer would send work
// there. So after a pause the process reads its links and drops the packets; their senders resend them.
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
