#include "peaksearch.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// Samples needed before the throughput of a level is compared. With service times that vary by half, the error is about
    /// 4 %, and few of the requests started at the level before.
    constexpr std::uint32_t samplesPerLevel = 40;
    constexpr double sampleWeight = 0.025;
    /// A throughput of less than this part of the lower level's starts a trial; the lower level wins the trial only by this factor.
    constexpr double trialRatio = 0.9;
    constexpr double winningRatio = 1.05;

    double throughput(const PeakSearch& search)
    {
        return search.level / std::max(search.atLevel.mean, 0.1);
    }

    bool isMeasured(const PeakSearch& search)
    {
        return search.atLevel.samples >= samplesPerLevel;
    }

    void changeLevel(PeakSearch& search, std::uint32_t level)
    {
        const bool isNextUp = level == search.level + 1 && isMeasured(search);
        search.throughputBelow = isNextUp ? throughput(search) : 0;
        const bool isTrialLevel = search.onTrial && level + 1 == search.level;
        if (!isTrialLevel) {
            search.onTrial = false;
            search.confirmed = false;
        }
        search.level = level;
        search.atLevel = {};
    }

    PeakAction startTrial(PeakSearch& search)
    {
        search.onTrial = true;
        search.referenceThroughput = throughput(search);
        search.throughputBelow = 0;
        return PeakAction::Lower;
    }

    PeakAction endTrial(PeakSearch& search)
    {
        search.onTrial = false;
        const bool isBetter = throughput(search) > search.referenceThroughput * winningRatio;
        if (!isBetter) {
            const bool holdAbove = search.confirmed;
            search.confirmed = false;
            return holdAbove ? PeakAction::ReturnAndKeep : PeakAction::Return;
        }
        search.confirmed = search.level > 1;
        return search.confirmed ? startTrial(search) : PeakAction::Keep;
    }

}

// An upstream that can serve less than its configured slots, or shares its host, may answer slower instead of shedding. At
// full concurrency its throughput is then lower than at a smaller limit (six tenths, if it can serve three of five slots and
// slows by the square of the excess), and every request takes longer. The search moves one level at a time and always
// compares new measurements of both levels: requests that became heavier at every level look the same until a lower level is
// tried, and must not cost a slot. A trial costs about 40 requests at one slot less.
PeakAction recordPeakSample(PeakSearch& search, std::uint32_t level, double serviceTime)
{
    if (level != search.level)
        changeLevel(search, level);
    recordServiceTime(search.atLevel, serviceTime, sampleWeight);
    if (!isMeasured(search))
        return PeakAction::Stay;
    if (search.onTrial)
        return endTrial(search);
    const bool needsTrial = level > 1 && throughput(search) < search.throughputBelow * trialRatio;
    return needsTrial ? startTrial(search) : PeakAction::Stay;
}

bool isMeasuredAt(const PeakSearch& search, std::uint32_t level)
{
    return search.level == level && isMeasured(search);
}

}
