#pragma once

#include "libdecision/ids.h"

namespace kingcuptrail {

/// Limits an event to one log line in each interval. Events that a peer or an overload causes a thousand times a second
/// would otherwise fill the log and cost more than the work itself. The metrics still count every event.
class LogThrottle {
public:
    /// `interval` in milliseconds.
    explicit LogThrottle(Millis interval)
        : m_interval(interval)
    {
    }

    /// Returns whether to log now; otherwise counts the event as omitted.
    bool isDue(Millis now)
    {
        if (m_isUsed && now - m_loggedAt < m_interval) {
            ++m_omitted;
            return false;
        }
        m_isUsed = true;
        m_loggedAt = now;
        return true;
    }

    /// Returns the number of omitted events since the last call, and resets it.
    std::uint64_t takeOmittedCount()
    {
        const std::uint64_t omitted = m_omitted;
        m_omitted = 0;
        return omitted;
    }

private:
    Millis m_interval;
    Millis m_loggedAt = 0;
    std::uint64_t m_omitted = 0;
    bool m_isUsed = false;
};

}
