#include "pausemeter.h"

#include "libruntime/clock.h"

namespace kingcuptrail {

namespace {

    /// A process that has not run for longer than this was paused, in milliseconds: seven periods of the 100 ms timer that
    /// records activity. On a busy host the timer is late by two or three periods at the most.
    constexpr Millis pauseThreshold = 700;
    /// Gossip counts only when it is received this long after a pause, in milliseconds. Messages that waited in the socket
    /// during the pause have been read by then.
    constexpr Millis backlogTime = 200;

}

PauseMeter::PauseMeter()
    : m_lastRun(Clock().now())
{
}

bool PauseMeter::recordRun()
{
    const Millis now = Clock().now();
    const Millis gap = now - m_lastRun;
    m_lastRun = now;
    if (gap <= pauseThreshold)
        return false;
    m_lastPause = gap;
    m_resumedAt = now;
    m_mayBeStale = true;
    return true;
}

void PauseMeter::recordGossip()
{
    if (m_mayBeStale && Clock().now() - m_resumedAt >= backlogTime)
        m_mayBeStale = false;
}

}
