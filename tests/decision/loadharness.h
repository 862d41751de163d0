#pragma once

#include "libdecision/admission.h"
#include "libdecision/retry.h"

#include <functional>
#include <limits>
#include <map>
#include <random>
#include <vector>

namespace kingcuptrail {

/// How a simulated upstream reacts to more concurrent requests than it can serve.
enum class Overload {
    /// Every request takes longer, by the square of the excess.
    Slows,
    /// Sheds the excess.
    Sheds,
    /// Fails all running requests, refuses connections for half a second and starts cold.
    Crashes,
};

/// A simulated upstream. While cold it can serve one request, then more in a straight line over `warmTime`.
struct UpstreamModel {
    std::uint32_t maxConcurrency = 5;
    Millis shortTime = 20;
    Millis longTime = 1000;
    Overload overload = Overload::Slows;
    Millis warmTime = 10000;
    /// From this time on it can serve only `laterMaxConcurrency` requests.
    Millis changesAt = std::numeric_limits<Millis>::max();
    std::uint32_t laterMaxConcurrency = 0;
    /// Times at which it turns cold; before the first it is warm.
    std::vector<Millis> coldAt;
    /// Its endpoints' report every half second, given the time and the number of running requests; no reports if unset.
    std::function<UpstreamHint(Millis, std::uint32_t)> hint;
};

/// A period of arrivals at random times.
struct Arrivals {
    double shortPerSecond = 0;
    double longPerSecond = 0;
    Millis from = 0;
    Millis until = 0;
    /// The share of each upstream; empty means equal shares.
    std::vector<double> shares;
    Millis shortDeadline = 500;
    Millis longDeadline = 15000;
};

struct LoadRun {
    std::vector<UpstreamModel> upstreams { {} };
    AdmissionOptions options { .slots = 5 };
    std::vector<Arrivals> arrivals;
    /// Short requests that arrive at the same time at upstream 0.
    std::uint32_t burst = 0;
    Millis burstAt = 0;
    Millis burstDeadline = 500;
    /// Refused callers retry within the retry budget, at another upstream if there is one.
    bool callersRetry = false;
    RetryOptions retry;
    /// Requests that arrive before this time only warm up the upstreams and are not counted.
    Millis countFrom = 0;
    std::uint32_t seed = 1;
};

/// The results for the callers of one class.
struct Outcomes {
    std::uint32_t offered = 0;
    std::uint32_t servedInTime = 0;
    std::uint32_t servedLate = 0;
    std::uint32_t refused = 0;
    std::uint32_t failed = 0;
    std::uint32_t falseNotRunRefusals = 0;
    /// From arrival, in milliseconds.
    std::vector<Millis> refusedAfter;
    std::vector<Millis> servedAfter;

    double share(std::uint32_t part) const { return offered == 0 ? 0 : static_cast<double>(part) / offered; }
};

/// The measurements at one upstream.
struct UpstreamStats {
    /// The times of starts that exceeded what it could serve.
    std::vector<Millis> overloadedAt;
    std::uint32_t crashCount = 0;
    /// Slot time of the counted requests that were answered in time, in milliseconds.
    double usefulSlotTime = 0;
    std::uint32_t servedInTime = 0;
    AdmissionState state;
};

struct LoadResult {
    std::map<WorkClass, Outcomes> outcomes;
    std::vector<UpstreamStats> upstreams;
    /// For the whole run, counted or not.
    std::uint32_t firstTries = 0;
    std::uint32_t retries = 0;
    /// The maximum number of refused callers that were told to retry within the same 20 ms.
    std::uint32_t maxSimultaneousRetries = 0;
};

/// Simulates admission in front of upstreams on a virtual clock. The same seed gives the same run.
LoadResult runLoad(const LoadRun&);

/// The value below which this share of the values lies.
Millis percentile(std::vector<Millis> values, double share);

}
