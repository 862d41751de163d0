#pragma once

#include "libdecision/admission.h"
#include "libdecision/retry.h"

#include <functional>
#include <limits>
#include <map>
#include <random>
#include <vector>

namespace kingcuptrail {

/// What a stand-in upstream does when it has more to do at the same time than it bears.
enum class Overload {
    /// Every request takes longer, by the square of the excess.
    Slows,
    /// Turns away what is above.
    Sheds,
    /// Fails all it has, refuses connections for half a second, and starts cold.
    FallsOver,
};

/// A stand-in upstream. While cold it bears one request and then more, in a straight line over `warmTime`.
struct UpstreamModel {
    std::uint32_t bears = 5;
    Millis shortTime = 20;
    Millis longTime = 1000;
    Overload overload = Overload::Slows;
    Millis warmTime = 10000;
    /// From this time on it bears only `laterBears`.
    Millis laterAt = std::numeric_limits<Millis>::max();
    std::uint32_t laterBears = 0;
    /// Times at which it turns cold; before the first it is warm.
    std::vector<Millis> coldAt;
    /// What its endpoints say every half second, given the time and what it has to do; nothing without it.
    std::function<UpstreamHint(Millis, std::uint32_t)> hint;
};

/// One stretch of arrivals at random times.
struct Arrivals {
    double shortPerSecond = 0;
    double longPerSecond = 0;
    Millis from = 0;
    Millis until = 0;
    /// The share of each upstream; empty means even.
    std::vector<double> shares;
    Millis shortDeadline = 500;
    Millis longDeadline = 15000;
};

struct LoadRun {
    std::vector<UpstreamModel> upstreams { {} };
    AdmissionOptions options { .slots = 5 };
    std::vector<Arrivals> arrivals;
    /// Short requests that arrive all at once, at upstream 0.
    std::uint32_t burst = 0;
    Millis burstAt = 0;
    Millis burstDeadline = 500;
    /// Refused callers come back, at another upstream when there is one, within the retry budget.
    bool callersRetry = false;
    RetryOptions retry;
    /// Requests that arrive before this time only prepare the ground and are not counted.
    Millis countFrom = 0;
    std::uint32_t seed = 1;
};

/// What the callers of one class got.
struct Outcomes {
    std::uint32_t offered = 0;
    std::uint32_t servedInTime = 0;
    std::uint32_t servedLate = 0;
    std::uint32_t refused = 0;
    std::uint32_t failed = 0;
    std::uint32_t untrueRefusals = 0;
    /// From arrival, in milliseconds.
    std::vector<Millis> refusedAfter;
    std::vector<Millis> servedAfter;

    double share(std::uint32_t part) const { return offered == 0 ? 0 : static_cast<double>(part) / offered; }
};

/// What one upstream saw.
struct UpstreamSeen {
    /// When starts put it above what it bore at the time.
    std::vector<Millis> aboveAt;
    std::uint32_t fellOver = 0;
    /// Slot time of the counted answers in time, in milliseconds.
    double usefulSlotTime = 0;
    std::uint32_t servedInTime = 0;
    AdmissionState state;
};

struct LoadResult {
    std::map<WorkClass, Outcomes> outcomes;
    std::vector<UpstreamSeen> upstreams;
    /// Of the whole run, counted or not.
    std::uint32_t firstTries = 0;
    std::uint32_t retries = 0;
    /// The most refused callers that were told to come back within the same 20 ms.
    std::uint32_t largestReturn = 0;
};

/// Runs admission before stand-in upstreams on a clock of its own; the same seed gives the same run.
LoadResult runLoad(const LoadRun&);

/// The value below which the share of the values lies.
Millis percentile(std::vector<Millis> values, double share);

}
