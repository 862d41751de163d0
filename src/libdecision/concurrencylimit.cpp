#include "concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace kingcuptrail {

namespace {

    /// Samples before the baseline is trusted to tell a rise.
    constexpr std::uint32_t trustedSamples = 8;
    /// Weight of one sample once the baseline is settled: it follows a lasting change within some 50 requests.
    constexpr double baselineWeight = 0.02;
    constexpr double recentWeight = 0.2;
    /// A rise is sudden beyond 3 means and 4 deviations: with exponential service times, one request in 400.
    constexpr double riseMeans = 3;
    constexpr double riseDeviations = 4;
    /// Below this a rise is the noise of scheduling, in milliseconds.
    constexpr double leastRise = 10;
    /// Slow requests in a row that make the upstream cold: by chance, less than one in ten million.
    constexpr std::uint32_t slowUntilCold = 3;
    /// Steady overload: the last few requests take this many times the baseline.
    constexpr double overloadRatio = 2;
    constexpr double overloadCut = 0.8;
    constexpr double slowCut = 0.7;
    constexpr std::uint32_t longestStretch = 4;
    /// A concurrency that was shed twice is left alone for this many warm-ups.
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

    void stretchWarmUp(ConcurrencyLimit& limit)
    {
        if (limit.cold && limit.limit > 1)
            limit.stretch = std::min(limit.stretch * 2, longestStretch);
    }

    // Load: an upstream that bears less than its configured slots.
    // Harm: it sheds at full concurrency, warms up again, sheds again: half of what it bears is lost for good.
    // Limit: only the same concurrency shed twice counts, since once may be a cold start; after ten warm-ups it is
    // tried again, since the upstream may have been mended.
    void learnCeiling(ConcurrencyLimit& limit, const LimitOptions& options, std::uint32_t busy, Millis now)
    {
        if (limit.limit < 2 || busy < 2)
            return;
        if (limit.shedAt == busy) {
            limit.ceiling = busy - 1;
            limit.ceilingUntil = now + ceilingWarmUps * options.warmUp;
        }
        limit.shedAt = busy;
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
            learnCeiling(limit, options, sample.busy, now);
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
        limit.sinceCut = 0;
    }

    // Load: the upstream's host is shared or its work has become heavier, and every request takes longer.
    // Harm: more at the same time only lengthens the wait of all; deadlines pass at the upstream and its work is lost.
    // Limit: the last few requests above twice the baseline cut a fifth, at most once in a round of requests, so that
    // one rise is not cut twice; the baseline follows, so a lasting change is not held against the upstream for ever.
    bool cutForOverload(ConcurrencyLimit& limit, const LimitOptions& options)
    {
        const double tolerated = overloadRatio * limit.baseline.mean + limit.baseline.deviation;
        const bool overloaded = hasBaseline(limit) && limit.recent > std::max(tolerated, limit.baseline.mean + leastRise);
        if (!overloaded || limit.sinceCut < allowedConcurrency(limit, options))
            return overloaded;
        limit.limit = std::max(1.0, limit.limit * overloadCut);
        limit.sinceCut = 0;
        return true;
    }

    void measure(ConcurrencyLimit& limit, Millis serviceTime)
    {
        const auto time = static_cast<double>(serviceTime);
        limit.recent = limit.baseline.samples == 0 ? time : limit.recent + recentWeight * (time - limit.recent);
        noteServiceTime(limit.baseline, time, baselineWeight);
    }

    void grow(ConcurrencyLimit& limit, const LimitOptions& options, Millis now)
    {
        const double bound = warmUpBound(limit, options, now);
        limit.limit = std::min(limit.limit + 1 / limit.limit, std::max(bound, limit.limit));
        if (limit.limit + rounding < highestLimit(limit, options, now))
            return;
        limit.limit = highestLimit(limit, options, now);
        limit.cold = false;
        limit.stretch = 1;
    }

    void noteSuccess(ConcurrencyLimit& limit, const LimitOptions& options, const LimitSample& sample, Millis now)
    {
        limit.failuresInRow = 0;
        limit.slowInRow = 0;
        ++limit.sinceCut;
        if (sample.measured)
            measure(limit, sample.serviceTime);
        if (cutForOverload(limit, options) || sample.holdGrowth)
            return;
        const bool limitWasUsed = sample.busy >= allowedConcurrency(limit, options);
        if (limitWasUsed)
            grow(limit, options, now);
    }

}

void noteServiceTime(ServiceTime& estimate, double serviceTime, double leastWeight)
{
    ++estimate.samples;
    const double weight = std::max(1.0 / estimate.samples, leastWeight);
    if (estimate.samples == 1) {
        estimate.mean = serviceTime;
        return;
    }
    const double difference = serviceTime - estimate.mean;
    estimate.mean += weight * difference;
    estimate.deviation += weight * (std::abs(difference) - estimate.deviation);
}

bool isSuddenRise(const ConcurrencyLimit& limit, Millis serviceTime)
{
    if (!hasBaseline(limit))
        return false;
    const double rise = riseMeans * limit.baseline.mean + riseDeviations * limit.baseline.deviation;
    return static_cast<double>(serviceTime) > std::max(rise, limit.baseline.mean + leastRise);
}

// Load: the first requests after an upstream that refused connections, or whose data centre was out, answers again.
// Harm: counted from the last refusal or from the news of the return, the warm-up is ahead of the upstream's own by as
// long as it still takes to start, and its second and third requests come while it bears one.
// Limit: the line begins with the first request that the upstream takes.
void startCold(ConcurrencyLimit& limit)
{
    limit.limit = 1;
    limit.cold = true;
    limit.coldSince.reset();
    limit.baseline = {};
    limit.recent = 0;
    limit.slowInRow = 0;
    limit.sinceCut = 0;
    ++limit.coldStarts;
}

// Load: the first burst after a quiet time.
// Harm: an upstream that was restarted meanwhile has given no sign, and would get the burst at full concurrency.
// Limit: one round of successes for each slot proves it in a few service times; the baseline stays, so a cold upstream
// shows by its first slow request.
void noteIdleStart(ConcurrencyLimit& limit, const LimitOptions& options, Millis now)
{
    if (!limit.coldSince)
        limit.coldSince = now;
    if (!limit.lastCompletion || now - *limit.lastCompletion < options.idleBeforeProof)
        return;
    limit.limit = 1;
    limit.cold = true;
    limit.lastCompletion = now;
}

void noteCompletion(ConcurrencyLimit& limit, const LimitOptions& options, const LimitSample& sample, Millis now)
{
    if (!options.guard)
        return;
    limit.lastCompletion = now;
    if (sample.outcome == WorkOutcome::Shed || sample.outcome == WorkOutcome::Failed)
        return noteTurnedAway(limit, options, sample, now);
    if (!limit.coldSince)
        limit.coldSince = now;
    if (sample.measured && isSuddenRise(limit, sample.serviceTime))
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
