#pragma once

#include "libdecision/refusal.h"
#include "libruntime/metrics.h"

namespace kingcuptrail {

/// Counts of how requests ended at this agent.
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

/// What an agent counts of its requests.
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
