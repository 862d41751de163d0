#pragma once

#include "ids.h"

#include <optional>

namespace kingcuptrail {

struct PauseDetectorOptions {
    /// A process that did not run for longer than this counts as paused, in milliseconds. Several intervals of its timer,
    /// and less than the silence after which peers close its links.
    Millis pauseThreshold = 1000;
    /// How long packets are dropped after a pause, in milliseconds. Long enough to read what is queued on every link, and
    /// for links that peers have closed to be reconnected and to deliver the current state.
    Millis dropTime = 1000;
    /// Test only: when off, pauses are not detected.
    bool guard = true;
};

/// Detects that the process was paused, for example stopped by a signal or suspended with its host.
struct PauseDetector {
    std::optional<Millis> lastRun;
    Millis dropUntil = 0;
};

/// Records that the process is running. To be called before each packet and on each timer tick.
void recordRun(PauseDetector&, const PauseDetectorOptions&, Millis now);

/// Whether packets have to be dropped, since they may be older than state changes that are still unread.
bool isDroppingPackets(const PauseDetector&, Millis now);

}
