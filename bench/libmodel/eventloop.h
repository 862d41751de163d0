#pragma once

#include "libdecision/ids.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace kingcuptrail {

/// A duration or a point in virtual time, in microseconds. Milliseconds are too coarse: a link of the model has a delay of
/// 1 to 1.5 ms.
using Micros = std::int64_t;

constexpr Micros microsPerMilli = 1000;

constexpr Micros toMicros(Millis time) { return time * microsPerMilli; }

/// Runs actions in virtual time. Actions that are due at the same time run in the order in which they were scheduled, so
/// that a run depends on its seed alone.
class EventLoop {
public:
    using Action = std::function<void()>;

    Micros now() const { return m_now; }
    Millis nowMillis() const { return m_now / microsPerMilli; }

    /// Schedules an action. A time in the past counts as the current time.
    void at(Micros time, Action action);
    void after(Micros delay, Action action) { at(m_now + delay, std::move(action)); }

    /// Runs all actions that are due up to and including `end`, and sets the clock to `end`.
    void runUntil(Micros end);

    std::uint64_t executed() const { return m_executed; }

private:
    struct Entry {
        Micros time = 0;
        std::uint64_t order = 0;
        Action action;
    };

    static bool isLater(const Entry& left, const Entry& right);

    std::vector<Entry> m_heap;
    Micros m_now = 0;
    std::uint64_t m_scheduled = 0;
    std::uint64_t m_executed = 0;
};

}
