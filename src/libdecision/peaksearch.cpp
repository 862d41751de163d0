#include "peaksearch.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// Samples before a level's throughput is compared: for service times that vary by half, some 4 % off, and few of
    /// them began at the level before.
    constexpr std::uint32_t samplesPerLevel = 40;
    constexpr double sampleWeight = 0.025;
    /// Throughput below this part of the lower level's is put to trial; the trial itself must win by this factor.
    constexpr double suspiciousRatio = 0.9;
    constexpr double winningRatio = 1.05;

    double throughput(const PeakSearch& search)
    {
        return search.level / std::max(search.atLevel.mean, 0.1);
    }

    bool isMeasured(const PeakSearch& search)
    {
        return search.atLevel.samples >= samplesPerLevel;
    }

    void moveTo(PeakSearch& search, std::uint32_t level)
    {
        const bool isNextUp = level == search.level + 1 && isMeasured(search);
        search.below = isNextUp ? throughput(search) : 0;
        const bool isTrialLevel = search.onTrial && level + 1 == search.level;
        if (!isTrialLevel) {
            search.onTrial = false;
            search.confirmed = false;
        }
        search.level = level;
        search.atLevel = {};
    }

    PeakAction tryLower(PeakSearch& search)
    {
        search.onTrial = true;
        search.reference = throughput(search);
        search.below = 0;
        return PeakAction::Lower;
    }

    PeakAction endTrial(PeakSearch& search)
    {
        search.onTrial = false;
        const bool isBetter = throughput(search) > search.reference * winningRatio;
        if (!isBetter) {
            const bool keepAbove = search.confirmed;
            search.confirmed = false;
            return keepAbove ? PeakAction::ReturnAndKeep : PeakAction::Return;
        }
        search.confirmed = search.level > 1;
        return search.confirmed ? tryLower(search) : PeakAction::Keep;
    }

}

// Load: an upstream that bears less than its configured slots, or shares its host, and answers slower instead of shedding.
// Harm: at full concurrency it gets less done than at a lower one (six tenths, for one that bears three of five slots
// and slows by the square of the excess), and every request takes longer.
// Limit: one level at a time, and only after a trial in fresh figures: work that has become heavier at every level looks
// the same until a lower level is tried, and must not cost it a slot. A trial costs some 40 requests at one slot less.
PeakAction notePeakSample(PeakSearch& search, std::uint32_t level, double serviceTime)
{
    if (level != search.level)
        moveTo(search, level);
    noteServiceTime(search.atLevel, serviceTime, sampleWeight);
    if (!isMeasured(search))
        return PeakAction::Stay;
    if (search.onTrial)
        return endTrial(search);
    const bool isSuspicious = level > 1 && throughput(search) < search.below * suspiciousRatio;
    return isSuspicious ? tryLower(search) : PeakAction::Stay;
}

bool isMeasuredAt(const PeakSearch& search, std::uint32_t level)
{
    return search.level == level && isMeasured(search);
}

}
