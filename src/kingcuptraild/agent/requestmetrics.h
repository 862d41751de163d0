#pragma once

#include "libdecision/refusal.h"
#include "libruntime/metrics.h"

namespace kingcuptrail {

/// How a request ended at this agent; each value has a counter.
enum class RequestEnd : std::uint8_t {
    Answered,
    AnsweredFromLedger,
    StreamEnded,
    Refused,
    Abandoned,
};

template <>
struct EnumNames<RequestEnd> {
    static constexpr std::array<std::string_view, 5> names { "answered", "answeredFromLedger", "streamEnded", "refused", "abandoned" };
};

/// Counters and histograms of an agent's requests.
struct RequestMetrics {
    EnumCounters<RefusalReason> refusals;
    EnumCounters<RequestEnd> ends;
    EnumCounters<Ran> refusedRan;
    LatencyHistogram queueTime;
    LatencyHistogram serviceTime;

    /// Appends them in text exposition format.
    void expose(std::string& out) const;
};

}
