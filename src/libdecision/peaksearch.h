#pragma once

#include "servicetime.h"

namespace kingcuptrail {

/// Finds the concurrency above which an upstream's throughput falls, by comparing the throughput of neighbouring levels.
struct PeakSearch {
    /// The concurrency that is being measured, and its service time.
    std::uint32_t level = 0;
    ServiceTime atLevel;
    /// The throughput of the next lower level, in requests per millisecond, if the limit rose from there; 0 if unknown.
    double throughputBelow = 0;
    /// Whether a lower level is being compared with `referenceThroughput`, the throughput of the level above it.
    bool onTrial = false;
    double referenceThroughput = 0;
    /// At least one lower level had a higher throughput.
    bool confirmed = false;
};

enum class PeakAction : std::uint8_t {
    /// Keep the current level.
    Stay,
    /// Measure one level lower.
    Lower,
    /// The lower level is not better: return to the level above without holding it.
    Return,
    /// The lower level is not better than the one above it, which is the best: return there and hold it.
    ReturnAndKeep,
    /// This level, the lowest, is the best: hold it.
    Keep,
};

/// Adds the service time of a request that ended while the whole limit, `level`, was in use.
PeakAction recordPeakSample(PeakSearch&, std::uint32_t level, double serviceTime);

/// Whether this level has enough samples for a comparison.
bool isMeasuredAt(const PeakSearch&, std::uint32_t level);

}
