#pragma once

#include "libdecision/ids.h"

namespace kingcuptrail {

/// Lets an event be logged at most once in an interval. What a peer or an overload causes a thousand times a second would
/// otherwise fill the log and cost more than the work itself; the counters have every one.
class LogInterval {
public:
    /// `interval` in milliseconds.
    explicit LogInterval(Millis interval)
        : m_interval(interval)
    {
    }

    /// Whether to log now; otherwise the event is counted as left out.
    bool isDue(Millis now)
    {
        if (m_isUsed && now - m_loggedAt < m_interval) {
            ++m_leftOut;
            return false;
        }
        m_isUsed = true;
        m_loggedAt = now;
        return true;
    }

    /// How many were left out since the last one that was logged; counted anew from here.
    std::uint64_t takeLeftOut()
    {
        const std::uint64_t leftOut = m_leftOut;
        m_leftOut = 0;
        return leftOut;
    }

private:
    Millis m_interval;
    Millis m_loggedAt = 0;
    std::uint64_t m_leftOut = 0;
    bool m_isUsed = false;
};

}
