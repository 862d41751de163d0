#pragma once

#include "ids.h"

#include <optional>

namespace kingcuptrail {

struct PauseOptions {
    /// A process that has not run for longer than this was paused, in milliseconds. Several of its timer's intervals, and
    /// less than the silence after which peers give its links up.
    Millis longestGap = 1000;
    /// How long packets are left alone after a pause, in milliseconds: until what waited on every link has been read, and
    /// links that peers have given up meanwhile are made again and have told the news.
    Millis hold = 1000;
    /// Test only: off, a pause is not noticed.
    bool guard = true;
};

/// Tells a process that it stood still.
struct PauseWatch {
    std::optional<Millis> lastRun;
    Millis holdUntil = 0;
};

/// Notes that the process runs. To be called before each packet and at each turn of a timer.
void noteRunning(PauseWatch&, const PauseOptions&, Millis now);

/// Whether packets are to be dropped, since they may be older than the news behind them.
bool holdsPackets(const PauseWatch&, Millis now);

}
