#pragma once

#include "libdecision/enumnames.h"
#include "libdecision/ids.h"
#include "libdecision/refusal.h"
#include "libdecision/retry.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace kingcuptrail {

/// Why a caller lost a flow, determined from the actual state of the flow's owner.
enum class BreakCause : std::uint8_t {
    /// The data centre of its owner was taken out of service.
    DataCentreOut,
    /// Its agent terminated and lost its state.
    OwnerDied,
    /// Its agent was paused for too long.
    OwnerFrozen,
    /// Its owner was running, but packets of the flow were delivered to another agent.
    Misdirected,
    /// Its owner was running, but no packet arrived for too long.
    Silent,
};

template <>
struct EnumNames<BreakCause> {
    static constexpr std::array<std::string_view, 5> names { "dataCentreOut", "ownerDied", "ownerFrozen", "misdirected", "silent" };
};

/// The outcome of a request for its caller.
enum class RequestEnd : std::uint8_t {
    Answered,
    RefusedNotRun,
    /// Refused because the work had already run.
    RefusedRan,
    Unknown,
};

template <>
struct EnumNames<RequestEnd> {
    static constexpr std::array<std::string_view, 4> names { "answered", "refusedNotRun", "refusedRan", "unknown" };
};

template <typename Enum>
using EnumCounts = std::array<std::uint64_t, EnumNames<Enum>::names.size()>;

/// Measured values. All of them are stored, since a run has few.
class Samples {
public:
    void add(double value) { m_values.push_back(value); }
    std::size_t count() const { return m_values.size(); }
    double mean() const;
    double max() const;
    /// The value below which this fraction of the samples lies; 0 without samples.
    double percentile(double part) const;

private:
    std::vector<double> m_values;
};

/// How unevenly flows or work are spread over the targets of a service.
struct Imbalance {
    double maxOverMean = 0;
    double variation = 0;
};

/// Both members are 0 if the sum of the values is 0.
Imbalance imbalanceOf(const std::vector<double>& values);

/// What callers received within one second.
struct SecondMetrics {
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t flowsBroken = 0;
    /// Requests that the targets in service can answer per second.
    double capacity = 0;
    /// Maximum over mean of the open flows per target, for the most unbalanced service.
    double flowImbalance = 0;
};

/// All counters and samples of one run.
struct Metrics {
    EnumCounts<BreakCause> broken {};
    EnumCounts<RequestEnd> ended {};
    /// Requests with an unknown outcome, by the state of the owner of the last attempt.
    EnumCounts<BreakCause> unknownBy {};
    EnumCounts<RefusalReason> refusals {};
    EnumCounts<RetryReason> retryDecisions {};
    std::uint64_t flowsOpened = 0;
    std::uint64_t openTries = 0;
    /// Idle flows that a draining agent closed and that callers opened at another agent.
    std::uint64_t flowsMoved = 0;
    std::uint64_t duplicateOpens = 0;
    std::uint64_t firstTries = 0;
    std::uint64_t retries = 0;
    /// Non-idempotent work that started more than once.
    std::uint64_t duplicateRuns = 0;
    std::uint64_t packets = 0;
    std::uint64_t hops = 0;
    std::uint64_t redirectsNoted = 0;
    std::uint64_t redirectsUsed = 0;
    std::uint64_t controlBytes = 0;
    std::uint64_t platformCalls = 0;
    /// Work that started at an upstream beyond what it could serve at that time, during a warm-up that the agent was informed
    /// of, and the greatest excess.
    std::uint64_t coldOverruns = 0;
    double coldExcess = 0;
    /// Work beyond what the upstream could serve, as above, after it became cold without the agent being informed.
    std::uint64_t suddenColdOverruns = 0;
    /// Number of crashes of upstreams under overload.
    std::uint64_t overloadCrashes = 0;
    Samples answerLatency;
    /// Time from sending an attempt until its refusal with the statement that it did not run, in milliseconds.
    Samples refusalLatency;
    Samples flowImbalance;
    Samples flowVariation;
    Samples busyImbalance;
    Samples busyVariation;
    /// Time from the return of a target until it holds its share of flows within a factor of 1.25, in milliseconds.
    Samples returnTime;
    std::vector<SecondMetrics> seconds;
    /// Set during the warm-up before measuring, in which nothing is counted.
    bool isWarmingUp = true;
    std::unordered_map<std::uint64_t, std::uint32_t> startsByKey;

    /// Counts a start of work at an upstream; `onceKey` is 0 for idempotent work.
    void recordStart(std::uint64_t onceKey);

    /// Counts a start of work beyond what a cold upstream can serve. A warm upstream, which can serve all its slots, is not
    /// counted.
    void recordConcurrency(std::uint32_t running, double bearable, std::uint32_t slots, bool isAnnounced);

    SecondMetrics& second(Millis sinceStart);
};

}
