#pragma once

#include "history.h"

namespace kingcuptrail {

/// A promise of the system to its users, which every history must keep.
enum class Promise : std::uint8_t {
    /// An established flow survives every planned change unless its data centre is out of service.
    FlowSurvives,
    /// A packet never reaches an upstream of another service.
    NoMisrouting,
    /// An upstream in its cold start gets no more requests at once than it can process.
    ColdSpared,
    /// A data centre gets no packets any more a few seconds after it was taken out of service.
    OutSilent,
    /// Each caller gets the complete answer to its own request, and each upstream the complete request.
    WholeAnswers,
    /// A request that was refused as not run did not run.
    TrueRefusals,
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A draining upstream gets no new work after a few seconds.
    LeaverNoNewWork,
    /// A graceful shutdown interrupts no request.
    ShutdownCutsNothing,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    ConfigNeverReverts,
};

template <>
struct EnumNames<Promise> {
    static constexpr std::array<std::string_view, 10> names {
        "flowSurvives",
        "noMisrouting",
        "coldSpared",
        "outSilent",
        "wholeAnswers",
        "trueRefusals",
        "atMostOnce",
        "leaverNoNewWork",
        "shutdownCutsNothing",
        "configNeverReverts",
    };
};

/// Times in milliseconds.
struct CheckOptions {
    /// Time after which a change of membership must have taken effect everywhere.
    Millis settle = 3000;
    /// Time after which an accepted configuration must be in force on every daemon.
    Millis configBound = 5000;
    /// Time after a failure in which a flow or request may still end because of it: the longest silence limit plus a margin.
    Millis notice = 10000;
    /// Time within which an agent must detect that its upstream became cold without notice, because of an injected fault that
    /// names the upstream.
    Millis coldDetect = 1000;
};

struct Violation {
    Promise promise = Promise::FlowSurvives;
    std::string text;
    /// The events that prove the violation, in order of time.
    std::vector<HistoryEvent> events;
};

struct HistorySummary {
    std::uint64_t flows = 0;
    std::uint64_t broken = 0;
    std::uint64_t givenUp = 0;
    std::uint64_t requests = 0;
    std::uint64_t answeredWhole = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t outcomeUnknown = 0;
    std::uint64_t doubleRuns = 0;
    std::uint64_t misrouted = 0;
    /// The largest number of flows opened at one upstream of a service, divided by the mean over its upstreams. With
    /// several services, the highest of their ratios; 0 without flows.
    double imbalance = 0;
};

struct CheckResult {
    std::vector<Violation> violations;
    HistorySummary summary;
};

/// Checks events against each promise. They must be in order of time, as readHistory() returns them.
CheckResult checkHistory(const std::vector<HistoryEvent>& events, const CheckOptions& options = {});

std::string toJson(const HistorySummary& summary);

}
