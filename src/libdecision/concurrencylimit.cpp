#include "concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace kingcuptrail {

namespace {

    /// Samples needed before the baseline is used to detect a rise.
    constexpr std::uint32_t minBaselineSamples = 8;
    /// Weight of one sample in a settled baseline, which follows a lasting change within about 50 requests.
    constexpr double baselineWeight = 0.02;
    /// A service time is a sudden rise above 3 means and 4 deviations. With exponential service times, one request in 400
    /// exceeds this by chance.
    constexpr double riseMeans = 3;
    constexpr double riseDeviations = 4;
    /// After an idle time, a smaller rise counts. A false detection only costs a few more successes.
    constexpr double revalidationMeans = 1.5;
    constexpr double revalidationDeviations = 2;
    constexpr double revalidationStep = 0.5;
    /// Smaller rises are attributed to scheduling noise, in milliseconds.
    constexpr double minRise = 10;
    /// Consecutive slow requests after which the upstream counts as cold. By chance this happens less than once in ten
    /// million requests.
    constexpr std::uint32_t slowRequestsUntilCold = 3;
    constexpr double slowRequestFactor = 0.7;
    constexpr std::uint32_t maxWarmUpFactor = 4;
    /// A limit at which the upstream shed twice is avoided for this many warm-ups.
    constexpr Millis ceilingWarmUps = 10;
    /// Tolerance for floating-point errors, so that a sum such as 0.7 + 0.3 counts as a whole slot.
    constexpr double roundingTolerance = 1e-6;

    bool hasBaseline(const ConcurrencyLimit& limit)
    {
        return limit.baseline.samples >= minBaselineSamples;
    }

    std::uint32_t highestLimit(const ConcurrencyLimit& limit, const LimitOptions& options, Millis now)
    {
        if (limit.ceiling > 0 && now < limit.ceilingExpiresAt)
            return std::min(limit.ceiling, options.slots);
        return options.slots;
    }

    // The highest limit that the warm-up allows now: a straight line over the warm-up time. After a data centre's return,
    // the flows of every balancer wait for an upstream that has just started. If successes alone raised the limit, its first
    // light requests would double it every few milliseconds, and the upstream would collapse under its full load. The limit
    // rises only with successes, and never above this line.
    double warmUpBound(const ConcurrencyLimit& limit, const LimitOptions& options, Millis now)
    {
        const double highest = highestLimit(limit, options, now);
        if (!limit.cold || options.warmUp <= 0)
            return highest;
        const double span = static_cast<double>(options.warmUp) * limit.warmUpFactor;
        const double passed = static_cast<double>(now - limit.coldSince.value_or(now)) / span;
        return 1 + (highest - 1) * std::clamp(passed, 0.0, 1.0);
    }

    // An upstream that takes longer to warm up than configured fails at the same point of each warm-up and never gets
    // further; with four times the configured time it stays at a fifth of its slots. Each failed warm-up therefore doubles
    // the time, up to four times the configured value; a longer warm-up is a configuration error.
    void extendWarmUp(ConcurrencyLimit& limit)
    {
        if (limit.cold && !limit.revalidating && limit.limit > 1)
            limit.warmUpFactor = std::min(limit.warmUpFactor * 2, maxWarmUpFactor);
    }

    void setCeiling(ConcurrencyLimit& limit, std::uint32_t level, Millis until)
    {
        limit.ceiling = level;
        limit.ceilingExpiresAt = until;
    }

    // An upstream that can serve less than its configured slots would shed at full concurrency, warm up and shed again, and
    // lose half of its capacity. The limit is lowered only after two sheds at the same limit while warm, since a single one
    // may be a cold start. After ten warm-ups the higher limit is tried again, since the upstream may have been repaired.
    void learnCeiling(ConcurrencyLimit& limit, const LimitOptions& options, Millis now)
    {
        const std::uint32_t allowed = allowedConcurrency(limit, options);
        if (limit.cold || allowed < 2)
            return;
        if (limit.lastShedLimit == allowed)
            setCeiling(limit, allowed - 1, now + ceilingWarmUps * options.warmUp);
        limit.lastShedLimit = allowed;
    }

    // Pauses starts after failures. If an upstream refuses connections or sheds at a concurrency of one, the queue would be
    // sent to it within milliseconds, each request ending in a refusal that a short wait would have avoided, and a starting
    // upstream would be hit as fast as it can refuse. The pause doubles from 50 ms, about the shortest start of a process,
    // to 1 s, so that a recovered upstream gets work within a second. Failures of requests that started before the pause do
    // not prolong it.
    void pauseStarts(ConcurrencyLimit& limit, const LimitOptions& options, Millis now)
    {
        if (now < limit.pausedUntil)
            return;
        Millis pause = options.firstPause;
        for (std::uint32_t failure = 0; failure < limit.consecutiveFailures && pause < options.maxPause; ++failure)
            pause *= 2;
        ++limit.consecutiveFailures;
        limit.pausedUntil = now + std::min(pause, options.maxPause);
    }

    void recordRejection(ConcurrencyLimit& limit, const LimitOptions& options, const LimitSample& sample, Millis now)
    {
        if (sample.outcome == WorkOutcome::Shed)
            learnCeiling(limit, options, now);
        extendWarmUp(limit);
        beginWarmUp(limit);
        pauseStarts(limit, options, now);
    }

    // An upstream may turn cold without warning and answer several times slower instead of failing; with all slots in use it
    // would collapse before the first failure. The first slow request lowers the limit, so that requests that end are not
    // replaced until it is clear whether the upstream is cold. Three consecutive slow requests make it cold. A single slow
    // request is an ordinary outlier and costs one round of growth.
    void recordSlowRequest(ConcurrencyLimit& limit)
    {
        if (++limit.consecutiveSlowRequests >= slowRequestsUntilCold) {
            extendWarmUp(limit);
            beginWarmUp(limit);
            return;
        }
        limit.limit = std::max(1.0, limit.limit * slowRequestFactor);
    }

    // Holds the limit at a peak that was found. The peak may have been found during a warm-up or while the host was shared,
    // and holding it for long would leave capacity unused. It is held for one warm-up first, and twice as long each time the
    // same peak is found again, up to ten warm-ups. Above a known peak the search must finish a level before the next is tried,
    // since growth would otherwise pass all levels before they can be compared.
    void holdPeak(ConcurrencyLimit& limit, const LimitOptions& options, std::uint32_t level, Millis now)
    {
        const bool isSame = limit.peakLevel == level;
        limit.peakHoldTime = isSame ? std::min(limit.peakHoldTime * 2, ceilingWarmUps * options.warmUp) : options.warmUp;
        limit.peakLevel = level;
        setCeiling(limit, level, now + limit.peakHoldTime);
    }

    void searchPeak(ConcurrencyLimit& limit, const LimitOptions& options, Millis serviceTime, Millis now)
    {
        const std::uint32_t level = allowedConcurrency(limit, options);
        switch (recordPeakSample(limit.peak, level, static_cast<double>(serviceTime))) {
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
            holdPeak(limit, options, level + 1, now);
            break;
        case PeakAction::Keep:
            holdPeak(limit, options, level, now);
            break;
        }
    }

    bool mustMeasureFirst(const ConcurrencyLimit& limit, std::uint32_t level)
    {
        return limit.peakLevel > 0 && level > limit.peakLevel && !isMeasuredAt(limit.peak, level);
    }

    void raiseLimit(ConcurrencyLimit& limit, const LimitOptions& options, Millis now)
    {
        if (mustMeasureFirst(limit, allowedConcurrency(limit, options)))
            return;
        const double bound = warmUpBound(limit, options, now);
        const double step = (limit.revalidating ? revalidationStep : 1) / limit.limit;
        limit.limit = std::min(limit.limit + step, std::max(bound, limit.limit));
        if (limit.limit + roundingTolerance < highestLimit(limit, options, now))
            return;
        limit.limit = highestLimit(limit, options, now);
        limit.cold = false;
        limit.revalidating = false;
        limit.warmUpFactor = 1;
    }

    void recordSuccess(ConcurrencyLimit& limit, const LimitOptions& options, const LimitSample& sample, Millis now)
    {
        if (!limit.coldSince)
            limit.coldSince = now;
        limit.consecutiveFailures = 0;
        limit.consecutiveSlowRequests = 0;
        if (sample.comparable)
            recordServiceTime(limit.baseline, static_cast<double>(sample.serviceTime), baselineWeight);
        const bool limitWasUsed = sample.busy >= allowedConcurrency(limit, options);
        if (limitWasUsed && sample.comparable)
            searchPeak(limit, options, sample.serviceTime, now);
        if (limitWasUsed && !sample.preventGrowth && !limit.peak.onTrial)
            raiseLimit(limit, options, now);
    }

}

bool isSuddenRise(const ConcurrencyLimit& limit, Millis serviceTime)
{
    if (!hasBaseline(limit))
        return false;
    const double means = limit.revalidating ? revalidationMeans : riseMeans;
    const double deviations = limit.revalidating ? revalidationDeviations : riseDeviations;
    const double rise = means * limit.baseline.mean + deviations * limit.baseline.deviation;
    return static_cast<double>(serviceTime) > std::max(rise, limit.baseline.mean + minRise);
}

// The warm-up is timed from the first success, not from the last refused connection. Otherwise it would run ahead of the
// upstream's own warm-up by the length of the pause, and the limit would exceed what the upstream can serve.
void beginWarmUp(ConcurrencyLimit& limit)
{
    limit.limit = 1;
    limit.cold = true;
    limit.revalidating = false;
    limit.coldSince = std::nullopt;
    limit.baseline = {};
    limit.consecutiveSlowRequests = 0;
    limit.peak = {};
    limit.peakLevel = 0;
    ++limit.coldStarts;
}

// After a long idle time the upstream may have been restarted unnoticed, and the next burst would reach it at full
// concurrency. The limit therefore restarts at one and rises over two rounds of successes for each slot, about ten service
// times in all. The baseline is kept, so that the first slow request reveals a cold upstream. A running peak search is
// aborted: its trial would hold the limit at one while only long work arrives, which has no comparable service times.
void restartLimitAfterIdle(ConcurrencyLimit& limit, const LimitOptions& options, Millis now)
{
    if (!limit.lastCompletion || now - *limit.lastCompletion < options.idleBeforeRevalidation)
        return;
    limit.limit = 1;
    limit.cold = true;
    limit.revalidating = hasBaseline(limit);
    limit.peak = {};
    limit.lastCompletion = now;
}

void recordCompletion(ConcurrencyLimit& limit, const LimitOptions& options, const LimitSample& sample, Millis now)
{
    if (!options.guard)
        return;
    limit.lastCompletion = now;
    if (sample.outcome == WorkOutcome::Shed || sample.outcome == WorkOutcome::Failed)
        recordRejection(limit, options, sample, now);
    else if (sample.comparable && isSuddenRise(limit, sample.serviceTime))
        recordSlowRequest(limit);
    else if (sample.outcome == WorkOutcome::Succeeded)
        recordSuccess(limit, options, sample, now);
}

std::uint32_t allowedConcurrency(const ConcurrencyLimit& limit, const LimitOptions& options)
{
    if (!options.guard)
        return options.slots;
    const auto whole = static_cast<std::uint32_t>(std::floor(limit.limit + roundingTolerance));
    return std::max<std::uint32_t>(1, std::min(whole, options.slots));
}

}
