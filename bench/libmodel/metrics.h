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

/// Why a caller lost a flow, as the model knows it from the owner's true state.
enum class BreakCause : std::uint8_t {
    /// Given up: its data centre was taken out.
    DataCentreOut,
    /// Its agent died, and all it knew with it.
    OwnerDied,
    /// Its agent stood still for too long.
    OwnerFrozen,
    /// Its owner was well, but packets of the flow went to another one.
    Misdirected,
    /// Its owner was well, but nothing came through for too long.
    Silent,
};

template <>
struct EnumNames<BreakCause> {
    static constexpr std::array<std::string_view, 5> names { "dataCentreOut", "ownerDied", "ownerFrozen", "misdirected", "silent" };
};

/// How a request ended for its caller.
enum class RequestEnd : std::uint8_t {
    Answered,
    RefusedNotRun,
    /// Refused because it had run already.
    RefusedRan,
    Unknown,
};

template <>
struct EnumNames<RequestEnd> {
    static constexpr std::array<std::string_view, 4> names { "answered", "refusedNotRun", "refusedRan", "unknown" };
};

template <typename Enum>
using EnumCounts = std::array<std::uint64_t, EnumNames<Enum>::names.size()>;

/// Measured values, kept one by one: a run has few enough.
class Samples {
public:
    void add(double value) { m_values.push_back(value); }
    std::size_t count() const { return m_values.size(); }
    double mean() const;
    double max() const;
    /// The value below which this part of the samples lies; 0 without samples.
    double percentile(double part) const;

private:
    std::vector<double> m_values;
};

/// How unevenly something is spread over the targets of a service.
struct Imbalance {
    double maxOverMean = 0;
    double variation = 0;
};

/// Both are 0 while there is nothing to spread.
Imbalance imbalanceOf(const std::vector<double>& values);

/// What callers got in one second.
struct SecondOfService {
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t flowsBroken = 0;
    /// Answers a second that the targets in service can give.
    double capacity = 0;
    /// Open flows, max over mean, of the worst service.
    double flowImbalance = 0;
};

/// Everything that is counted in one run.
struct Metrics {
    EnumCounts<BreakCause> broken {};
    EnumCounts<RequestEnd> ended {};
    /// Requests with an unknown outcome, by the state of the owner that was tried last.
    EnumCounts<BreakCause> unknownBy {};
    EnumCounts<RefusalReason> refusals {};
    EnumCounts<RetryReason> retryDecisions {};
    std::uint64_t flowsOpened = 0;
    std::uint64_t openTries = 0;
    /// Idle flows closed by a leaving agent, and opened again elsewhere.
    std::uint64_t flowsMoved = 0;
    std::uint64_t duplicateOpens = 0;
    std::uint64_t firstTries = 0;
    std::uint64_t retries = 0;
    /// Non-idempotent work that started more than once.
    std::uint64_t doubled = 0;
    std::uint64_t packets = 0;
    std::uint64_t hops = 0;
    std::uint64_t redirectsNoted = 0;
    std::uint64_t redirectsUsed = 0;
    std::uint64_t controlBytes = 0;
    std::uint64_t platformCalls = 0;
    /// Work that started at an upstream above what it bore at that moment, within a warm-up that was announced, and
    /// the most it was above.
    std::uint64_t coldOverruns = 0;
    double coldExcess = 0;
    /// The same, after an upstream turned cold without a word.
    std::uint64_t suddenColdOverruns = 0;
    /// Times an upstream fell over under more than it bore.
    std::uint64_t falls = 0;
    Samples answerLatency;
    /// From sending a try to its refusal as not run.
    Samples refusalLatency;
    Samples flowImbalance;
    Samples flowVariation;
    Samples busyImbalance;
    Samples busyVariation;
    /// From the return of a target until it holds its share of flows, within a factor of 1.25.
    Samples returnTime;
    std::vector<SecondOfService> seconds;
    /// Set while the warm-up before measuring lasts; nothing is counted then.
    bool isWarmingUp = true;
    std::unordered_map<std::uint64_t, std::uint32_t> startsOfKey;

    /// Counts work that started at an upstream; `onceKey` is 0 for idempotent work.
    void noteStart(std::uint64_t onceKey);

    /// Counts what starts above what an upstream bears while it is cold: a warm one bears its slots.
    void noteConcurrency(std::uint32_t running, double bearable, std::uint32_t slots, bool isAnnounced);

    SecondOfService& second(Millis sinceStart);
};

}
