#pragma once

#include "libdecision/ids.h"

namespace kingcuptrail {

/// Tells whether this process, or its whole host, stood still: by a clock that goes on while the host is suspended, which
/// the clock of timers does not. Until news has come since, what the process knows may be as old as the pause was long.
class PauseMeter {
public:
    PauseMeter();

    /// Notes that the process runs; to be called regularly and before each decision. True when a pause has just ended.
    bool noteRunning();

    /// Notes that a peer told its news.
    void noteNews();

    bool isInDoubt() const { return m_isInDoubt; }
    Millis lastPause() const { return m_lastPause; }

private:
    Millis m_lastRun;
    Millis m_resumedAt = 0;
    Millis m_lastPause = 0;
    bool m_isInDoubt = false;
};

}
