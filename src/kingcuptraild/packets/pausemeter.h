#pragma once

#include "libdecision/ids.h"

namespace kingcuptrail {

/// Detects that this process or its host was paused, with a clock that also runs while the host is suspended (the clock of
/// timers does not). After a pause, the state of the process may be as old as the pause was long until a peer
/// sends gossip.
class PauseMeter {
public:
    PauseMeter();

    /// Records that the process is running; to be called regularly and before each decision. True when a pause has just ended.
    bool recordRun();

    /// Records that a peer's gossip message was received.
    void recordGossip();

    bool mayBeStale() const { return m_mayBeStale; }
    Millis lastPause() const { return m_lastPause; }

private:
    Millis m_lastRun;
    Millis m_resumedAt = 0;
    Millis m_lastPause = 0;
    bool m_mayBeStale = false;
};

}
