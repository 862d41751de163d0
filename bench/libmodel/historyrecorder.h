#pragma once

#include "eventloop.h"
#include "libhistory/history.h"

#include <cstdint>
#include <vector>

namespace kingcuptrail {

/// Records the events of one run in order, for the checker of libhistory. Records only if enabled, since long runs produce
/// millions of events.
class HistoryRecorder {
public:
    HistoryRecorder(const EventLoop& loop, bool isEnabled)
        : m_loop(loop)
        , m_isEnabled(isEnabled)
    {
    }

    /// Records the event that `make` returns; `make` is called only if recording is enabled.
    template <typename Make>
    void record(Make make)
    {
        if (m_isEnabled)
            append(make());
    }

    const std::vector<HistoryEvent>& events() const { return m_events; }

private:
    void append(HistoryEvent event);

    const EventLoop& m_loop;
    bool m_isEnabled;
    std::vector<HistoryEvent> m_events;
};

/// A hash over all events in their order; equal for two runs with the same events.
std::uint64_t fingerprint(const std::vector<HistoryEvent>& events);

}
