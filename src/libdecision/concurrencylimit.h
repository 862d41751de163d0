#pragma once

#include "enumnames.h"
#include "ids.h"
#include "peaksearch.h"

#include <optional>

namespace kingcuptrail {

/// How a request ended at the upstream.
enum class WorkOutcome : std::uint8_t {
    Succeeded,
    /// The upstream rejected it (503, 429) without running it.
    Shed,
    /// The connection was refused or lost, or the answer was incomplete.
    Failed,
    /// Its deadline passed while it ran.
    TimedOut,
    /// The caller cancelled it while it ran.
    Cancelled,
};

template <>
struct EnumNames<WorkOutcome> {
    static constexpr std::array<std::string_view, 5> names { "succeeded", "shed", "failed", "timedOut", "cancelled" };
};

/// Bounds and rates of the concurrency limit.
struct LimitOptions {
    /// The number of concurrent requests that a warm upstream can serve. The limit never exceeds it.
    std::uint32_t slots = 1;
    /// The minimum time in which the limit rises from one slot to all slots, in milliseconds.
    Millis warmUp = 10000;
    /// The first and the longest pause after consecutive failures of a cold upstream, in milliseconds.
    Millis firstPause = 50;
    Millis maxPause = 1000;
    /// After this long without work the limit restarts at one and rises with successes alone, in milliseconds.
    Millis idleBeforeRevalidation = 30000;
    /// Test only: when off, the limit is always `slots`.
    bool guard = true;
};

/// The number of requests that one upstream may process at the same time, as learned by its agent.
struct ConcurrencyLimit {
    /// The learned limit; only whole slots of it are used.
    double limit = 1;
    /// Whether the upstream is warming up: from the start, or from the last sign of a cold upstream, until all slots are in
    /// use.
    bool cold = true;
    /// Cold only because of a long idle time. The limit does not follow the warm-up's schedule, and a smaller rise of the
    /// service time counts as a sign of a cold upstream.
    bool revalidating = false;
    /// When the warm-up began, which is the time of the first success; nothing before.
    std::optional<Millis> coldSince;
    /// The factor by which the warm-up is prolonged after the upstream shed work during a warm-up.
    std::uint32_t warmUpFactor = 1;
    /// No request may start before this time.
    Millis pausedUntil = 0;
    std::uint32_t consecutiveFailures = 0;
    /// The service time of short work, learned over many requests.
    ServiceTime baseline;
    std::uint32_t consecutiveSlowRequests = 0;
    /// When a request last ended here.
    std::optional<Millis> lastCompletion;
    /// The search for the concurrency with the highest throughput.
    PeakSearch peak;
    /// The peak found last, and how long the limit is held there, in milliseconds.
    std::uint32_t peakLevel = 0;
    Millis peakHoldTime = 0;
    /// The limit at which the upstream last shed, and the upper bound learned from sheds or from the peak with its expiry
    /// time.
    std::uint32_t lastShedLimit = 0;
    std::uint32_t ceiling = 0;
    Millis ceilingExpiresAt = 0;
    /// How often the upstream was found cold, for metrics.
    std::uint64_t coldStarts = 0;
};

/// One request that ended, and the load at that time.
struct LimitSample {
    WorkOutcome outcome = WorkOutcome::Succeeded;
    /// Whether its service time can be compared with that of other requests. The service time of long work depends on its
    /// size.
    bool comparable = true;
    Millis serviceTime = 0;
    /// Requests at the upstream when it ended, itself included.
    std::uint32_t busy = 1;
    /// Keeps the limit from rising because a hint reports an unhealthy or occupied upstream.
    bool preventGrowth = false;
};

/// Updates the limit with a request that ended.
void recordCompletion(ConcurrencyLimit&, const LimitOptions&, const LimitSample&, Millis now);

/// Restarts the limit at one after a long idle time. To be called before a request starts at an idle upstream.
void restartLimitAfterIdle(ConcurrencyLimit&, const LimitOptions&, Millis now);

/// Starts a warm-up: sets the limit to one slot and discards the learned service time.
void beginWarmUp(ConcurrencyLimit&);

/// The number of requests that may be at the upstream now: at least 1, at most `slots`.
std::uint32_t allowedConcurrency(const ConcurrencyLimit&, const LimitOptions&);

/// Whether the service time is a sudden rise above the learned baseline.
bool isSuddenRise(const ConcurrencyLimit&, Millis serviceTime);

}
