#include "concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace kingcuptrail {

namespace {

    /// Samples before the baseline is trusted to tell a rise.
    constexpr std::uint32_t trustedSamples = 8;
    /// Weight of one sample once the baseline is settled: it follows a lasting change within some 50 requests.
    constexpr double baselineWeight = 0.02;
    /// A rise is sudden beyond 3 means and 4 deviations: with exponential service times, one request in 400.
    constexpr double riseMeans = 3;
    constexpr double riseDeviations = 4;
    /// While a known upstream is proved anew, less counts as a rise: being wrong only costs a few more successes.
    constexpr double provingMeans = 1.5;
    constexpr double provingDeviations = 2;
    constexpr double provingStep = 0.5;
    /// Below this a rise is the noise of scheduling, in milliseconds.
    constexpr double leastRise = 10;
    /// Slow requests in a row that make the upstream cold: by chance, less than one in ten million.
    constexpr std::uint32_t slowUntilCold = 3;
    constexpr double slowCut = 0.7;
    constexpr std::uint32_t longestStretch = 4;
    /// A limit at which work was shed twice is left alone for this many warm-ups.
    constexpr Millis ceilingWarmUps = 10;
    /// Keeps a sum such as 0.7 + 0.3 from missing a whole slot by rounding.
    constexpr double rounding = 1e-6;

    bool hasBaseline(const ConcurrencyLimit& limit)
    {
        return limit.baseline.samples >= trustedSamples;
    }

    std::uint32_t highestLimit(const ConcurrencyLimit& limit, const LimitOptions& options, Millis now)
    {
        if (limit.ceiling > 0 && now < limit.ceilingUntil)
            return std::min(limit.ceiling, options.slots);
        return options.slots;
    }

    // Load: every balancer's flows wait for an upstream that has just started, as after a data centre's return.
    // Harm: the successes of its first light requests would let the limit double every few milliseconds, and the
    // upstream falls over under its full load.
    // Limit: a straight line over the warm-up; successes alone cannot outrun it, time alone cannot move it.
    double warmUpBound(const ConcurrencyLimit& limit, const LimitOptions& options, Millis now)
    {
        const double highest = highestLimit(limit, options, now);
        if (!limit.cold || options.warmUp <= 0)
            return highest;
        const double span = static_cast<double>(options.warmUp) * limit.stretch;
        const double passed = static_cast<double>(now - limit.coldSince.value_or(now)) / span;
        return 1 + (highest - 1) * std::clamp(passed, 0.0, 1.0);
    }

    // Load: an upstream that takes longer to warm up than configured.
    // Harm: its warm-up is cut short at the same point each time, and it never comes further (with four times the
    // configured time, it stayed at a fifth of its slots).
    // Limit: twice the time after each, up to four times, beyond which the configuration is wrong.
    void stretchWarmUp(ConcurrencyLimit& limit)
    {
        if (limit.cold && !limit.proving && limit.limit > 1)
            limit.stretch = std::min(limit.stretch * 2, longestStretch);
    }

    void keepAt(ConcurrencyLimit& limit, std::uint32_t level, Millis until)
    {
        limit.ceiling = level;
        limit.ceilingUntil = until;
    }

    // Load: an upstream that bears less than its configured slots.
    // Harm: it sheds at full concurrency, warms up again, sheds again: half of what it bears is lost for good.
    // Limit: only the same limit shed at twice while warm counts, since once may be a cold start; after ten warm-ups it is
    // tried again, since the upstream may have been mended.
    void learnCeiling(ConcurrencyLimit& limit, const LimitOptions& options, Millis now)
    {
        const std::uint32_t allowed = allowedConcurrency(limit, options);
        if (limit.cold || allowed < 2)
            return;
        if (limit.shedAt == allowed)
            keepAt(limit, allowed - 1, now + ceilingWarmUps * options.warmUp);
        limit.shedAt = allowed;
    }

    // Load: an upstream that refuses connections or sheds at a concurrency of one.
    // Harm: the queue is emptied into it within milliseconds, each request ending in a refusal that a short wait
    // would have spared; and an upstream on its way up is hit as fast as it can refuse.
    // Limit: doubling from 50 ms, about a process's shortest start, to 1 s, so that a returned upstream gets work
    // within a second. Failures of work that began before the pause do not lengthen it.
    void pauseStarts(ConcurrencyLimit& limit, const LimitOptions& options, Millis now)
    {
        if (now < limit.pausedUntil)
            return;
        Millis pause = options.firstPause;
        for (std::uint32_t failure = 0; failure < limit.failuresInRow && pause < options.longestPause; ++failure)
            pause *= 2;
        ++limit.failuresInRow;
        limit.pausedUntil = now + std::min(pause, options.longestPause);
    }

    void noteTurnedAway(ConcurrencyLimit& limit, const LimitOptions& options, const LimitSample& sample, Millis now)
    {
        if (sample.outcome == WorkOutcome::Shed)
            learnCeiling(limit, options, now);
        stretchWarmUp(limit);
        startCold(limit);
        pauseStarts(limit, options, now);
    }

    // Load: an upstream that turns cold without warning, and answers several times slower rather than failing.
    // Harm: with all slots in use it falls over before the first failure shows.
    // Limit: the first slow request cuts the limit, so that what ends is not replaced while it is in doubt; three in
    // a row make it cold. One slow request alone is an ordinary outlier and costs a round of growth.
    void noteSlow(ConcurrencyLimit& limit)
    {
        if (++limit.slowInRow >= slowUntilCold) {
            stretchWarmUp(limit);
            startCold(limit);
            return;
        }
        limit.limit = std::max(1.0, limit.limit * slowCut);
    }

    // Load: an upstream whose peak was found while it still warmed up, or while its host was shared.
    // Harm: kept at the peak of that time, it stays at part of what it bears long afterwards.
    // Limit: one warm-up the first time; twice as long each time the same peak is found again, up to ten. Beyond a peak
    // that was found, each level is measured before the next, or growth would pass all of them before one can tell.
    void keepPeak(ConcurrencyLimit& limit, const LimitOptions& options, std::uint32_t level, Millis now)
    {
        const bool isSame = limit.keptLevel == level;
        limit.keptFor = isSame ? std::min(limit.keptFor * 2, ceilingWarmUps * options.warmUp) : options.warmUp;
        limit.keptLevel = level;
        keepAt(limit, level, now + limit.keptFor);
    }

    void searchPeak(ConcurrencyLimit& limit, const LimitOptions& options, Millis serviceTime, Millis now)
    {
        const std::uint32_t level = allowedConcurrency(limit, options);
        switch (notePeakSample(limit.peak, level, static_cast<double>(serviceTime))) {
        case PeakAction::Stay:
            break;
        case PeakAction::Lower:
            limit.limit = level - 1;
            break;
        case PeakAction::Return:
            limit.limit = level + 1;
            break;
        case PeakAction::ReturnAndKeep:
            limit.limit = level + 1;
            keepPeak(limit, options, level + 1, now);
            break;
        case PeakAction::Keep:
            keepPeak(limit, options, level, now);
            break;
        }
    }

    bool mustMeasureFirst(const ConcurrencyLimit& limit, std::uint32_t level)
    {
        return limit.keptLevel > 0 && level > limit.keptLevel && !isMeasuredAt(limit.peak, level);
    }

    void grow(ConcurrencyLimit& limit, const LimitOptions& options, Millis now)
    {
        if (mustMeasureFirst(limit, allowedConcurrency(limit, options)))
            return;
        const double bound = warmUpBound(limit, options, now);
        const double step = (limit.proving ? provingStep : 1) / limit.limit;
        limit.limit = std::min(limit.limit + step, std::max(bound, limit.limit));
        if (limit.limit + rounding < highestLimit(limit, options, now))
            return;
        limit.limit = highestLimit(limit, options, now);
        limit.cold = false;
        limit.proving = false;
        limit.stretch = 1;
    }

    void noteSuccess(ConcurrencyLimit& limit, const LimitOptions& options, const LimitSample& sample, Millis now)
    {
        if (!limit.coldSince)
            limit.coldSince = now;
        limit.failuresInRow = 0;
        limit.slowInRow = 0;
        if (sample.measured)
            noteServiceTime(limit.baseline, static_cast<double>(sample.serviceTime), baselineWeight);
        const bool limitWasUsed = sample.busy >= allowedConcurrency(limit, options);
        if (limitWasUsed && sample.measured)
            searchPeak(limit, options, sample.serviceTime, now);
        if (limitWasUsed && !sample.holdGrowth && !limit.peak.onTrial)
            grow(limit, options, now);
    }

}

bool isSuddenRise(const ConcurrencyLimit& limit, Millis serviceTime)
{
    if (!hasBaseline(limit))
        return false;
    const double means = limit.proving ? provingMeans : riseMeans;
    const double deviations = limit.proving ? provingDeviations : riseDeviations;
    const double rise = means * limit.baseline.mean + deviations * limit.baseline.deviation;
    return static_cast<double>(serviceTime) > std::max(rise, limit.baseline.mean + leastRise);
}

// Failure: an upstream is down for a while and then starts cold. Counted from the last refused connection, the warm-up
// would run ahead of the upstream's own by the length of the pause, and put it above what it bears. So its clock starts
// at the first answer.
void startCold(ConcurrencyLimit& limit)
{
    limit.limit = 1;
    limit.cold = true;
    limit.proving = false;
    limit.coldSince = std::nullopt;
    limit.baseline = {};
    limit.slowInRow = 0;
    limit.peak = {};
    limit.keptLevel = 0;
    ++limit.coldStarts;
}

// Load: the first burst after a quiet time.
// Harm: an upstream that was restarted meanwhile has given no sign, and would get the burst at full concurrency.
// Limit: two rounds of successes for each slot prove it in some ten service times; the baseline stays, so a cold upstream
// shows by its first slow request. A search for the peak ends, or its trial would hold the limit at one while only long
// work comes, which says nothing of the peak.
void noteIdleStart(ConcurrencyLimit& limit, const LimitOptions& options, Millis now)
{
    if (!limit.lastCompletion || now - *limit.lastCompletion < options.idleBeforeProof)
        return;
    limit.limit = 1;
    limit.cold = true;
    limit.proving = hasBaseline(limit);
    limit.peak = {};
    limit.lastCompletion = now;
}

void noteCompletion(ConcurrencyLimit& limit, const LimitOptions& options, const LimitSample& sample, Millis now)
{
    if (!options.guard)
        return;
    limit.lastCompletion = now;
    if (sample.outcome == WorkOutcome::Shed || sample.outcome == WorkOutcome::Failed)
        noteTurnedAway(limit, options, sample, now);
    else if (sample.measured && isSuddenRise(limit, sample.serviceTime))
        noteSlow(limit);
    else if (sample.outcome == WorkOutcome::Succeeded)
        noteSuccess(limit, options, sample, now);
}

std::uint32_t allowedConcurrency(const ConcurrencyLimit& limit, const LimitOptions& options)
{
    if (!options.guard)
        return options.slots;
    const auto whole = static_cast<std::uint32_t>(std::floor(limit.limit + rounding));
    return std::max<std::uint32_t>(1, std::min(whole, options.slots));
}

}
