#pragma once

#include "servicetime.h"

namespace kingcuptrail {

/// Finds the concurrency beyond which an upstream gets less done, by comparing throughput at neighbouring levels.
struct PeakSearch {
    /// The concurrency measured now, and the service time there.
    std::uint32_t level = 0;
    ServiceTime atLevel;
    /// Requests per millisecond one level below, when that was left upwards; 0 when not known.
    double below = 0;
    /// A lower level is on trial against the throughput of the one above it.
    bool onTrial = false;
    double reference = 0;
    /// At least one lower level has done better.
    bool confirmed = false;
};

enum class PeakAction : std::uint8_t {
    /// Nothing new.
    Stay,
    /// Measure one level lower.
    Lower,
    /// The lower level is no better: return, and do not keep below.
    Return,
    /// The lower level is no better than the one above it, which is the best: return and keep there.
    ReturnAndKeep,
    /// This level, the lowest, is the best: keep there.
    Keep,
};

/// Takes the service time of a request that ended while the whole limit, `level`, was in use.
PeakAction notePeakSample(PeakSearch&, std::uint32_t level, double serviceTime);

/// Whether enough has been measured at this level to compare it.
bool isMeasuredAt(const PeakSearch&, std::uint32_t level);

}
