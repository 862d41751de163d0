#pragma once

#include "enumnames.h"
#include "ids.h"
#include "peaksearch.h"

#include <optional>

namespace kingcuptrail {

/// How a piece of work ended at the upstream.
enum class WorkOutcome : std::uint8_t {
    Succeeded,
    /// The upstream itself turned it away (503, 429) without running it.
    Shed,
    /// The connection was refused or broke, or the answer was not whole.
    Failed,
    /// Its deadline passed while it ran.
    TimedOut,
    /// The caller withdrew it while it ran.
    Cancelled,
};

template <>
struct EnumNames<WorkOutcome> {
    static constexpr std::array<std::string_view, 5> names { "succeeded", "shed", "failed", "timedOut", "cancelled" };
};

/// How far and how fast the concurrency limit moves.
struct LimitOptions {
    /// What the upstream bears when warm; the limit never exceeds it.
    std::uint32_t slots = 1;
    /// The shortest time from cold to all slots, in milliseconds.
    Millis warmUp = 10000;
    /// The first and the longest pause after failures in a row at a cold upstream, in milliseconds.
    Millis firstPause = 50;
    Millis longestPause = 1000;
    /// After this long without work, the limit is proved anew from one, by successes alone, in milliseconds.
    Millis idleBeforeProof = 30000;
    /// Test only: off, the limit is always `slots`.
    bool guard = true;
};

/// How many pieces of work one upstream may have at the same time, as its agent has learned it.
struct ConcurrencyLimit {
    /// The learned limit; whole slots of it count.
    double limit = 1;
    /// Cold from the start, or from the last sign of a cold upstream, until all slots are reached.
    bool cold = true;
    /// Cold only because of a long idle time: not bound to the warm-up's clock, and quick to find the upstream cold.
    bool proving = false;
    /// When the warm-up began, with the first answer; nothing before.
    std::optional<Millis> coldSince;
    /// The warm-up is stretched by this factor after the upstream shed work while it was warming up.
    std::uint32_t stretch = 1;
    /// Nothing may start before this time.
    Millis pausedUntil = 0;
    std::uint32_t failuresInRow = 0;
    /// Service time of short work, learned over many requests.
    ServiceTime baseline;
    std::uint32_t slowInRow = 0;
    /// When work last ended here.
    std::optional<Millis> lastCompletion;
    /// Where the upstream gets most done.
    PeakSearch peak;
    /// The peak found last, and how long the limit was kept there.
    std::uint32_t keptLevel = 0;
    Millis keptFor = 0;
    /// The limit at which the upstream last shed, and the bound learned from sheds or the peak until the time given.
    std::uint32_t shedAt = 0;
    std::uint32_t ceiling = 0;
    Millis ceilingUntil = 0;
    /// How often the upstream was found cold, for the counters.
    std::uint64_t coldStarts = 0;
};

/// What ended, and under which load.
struct LimitSample {
    WorkOutcome outcome = WorkOutcome::Succeeded;
    /// Whether its service time says something about the upstream; long work's depends on its size.
    bool measured = true;
    Millis serviceTime = 0;
    /// Work at the upstream when it ended, itself included.
    std::uint32_t busy = 1;
    /// Holds the limit where it is: a hint asks for care.
    bool holdGrowth = false;
};

/// Moves the limit by one piece of work that ended.
void noteCompletion(ConcurrencyLimit&, const LimitOptions&, const LimitSample&, Millis now);

/// To be called before work starts at an upstream that has none: after a long idle time the limit is proved anew.
void noteIdleStart(ConcurrencyLimit&, const LimitOptions&, Millis now);

/// Begins a warm-up: one slot, and nothing that was learned of the service time stands.
void startCold(ConcurrencyLimit&);

/// The work that may be at the upstream now: at least 1, at most `slots`.
std::uint32_t allowedConcurrency(const ConcurrencyLimit&, const LimitOptions&);

/// Whether the service time is a sudden rise against the learned baseline.
bool isSuddenRise(const ConcurrencyLimit&, Millis serviceTime);

}
