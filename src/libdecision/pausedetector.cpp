#include "pausedetector.h"

namespace kingcuptrail {

// If a process is paused while its data centre is taken out of service, it then reads the packets queued on its links
// before the state change queued behind them. An upstream of that data centre would get work, or a balancer would send work
// there. So after a pause the process reads its links and drops the packets; their senders resend them.
void recordRun(PauseDetector& detector, const PauseDetectorOptions& options, Millis now)
{
    const bool wasPaused = detector.lastRun && now - *detector.lastRun > options.pauseThreshold;
    detector.lastRun = now;
    if (wasPaused && options.guard)
        detector.dropUntil = now + options.dropTime;
}

bool isDroppingPackets(const PauseDetector& detector, Millis now)
{
    return now < detector.dropUntil;
}

}
