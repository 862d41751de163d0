#pragma once

#include "eventloop.h"
#include "libhistory/history.h"

#include <cstdint>
#include <vector>

namespace kingcuptrail {

/// Keeps what was seen in one run, in order, for the checker of libhistory. Keeps nothing unless it is switched on: long
/// runs see millions of events.
class HistoryRecorder {
public:
    HistoryRecorder(const EventLoop& loop, bool isKept)
        : m_loop(loop)
        , m_isKept(isKept)
    {
    }

    /// Records the event that `make` yields; `make` is called only when the history is kept.
    template <typename Make>
    void record(Make make)
    {
        if (m_isKept)
            append(make());
    }

    const std::vector<HistoryEvent>& events() const { return m_events; }

private:
    void append(HistoryEvent event);

    const EventLoop& m_loop;
    bool m_isKept;
    std::vector<HistoryEvent> m_events;
};

/// A number that two runs share only when they saw the same events in the same order.
std::uint64_t fingerprint(const std::vector<HistoryEvent>& events);

}
