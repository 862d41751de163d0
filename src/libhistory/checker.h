#pragma once

#include "history.h"

namespace kingcuptrail {

/// What must always hold.
enum class Promise : std::uint8_t {
    /// An established flow survives every planned change unless its data centre is out.
    FlowSurvives,
    /// A packet never reaches an upstream of another service.
    NoMisrouting,
    /// An upstream in a cold start gets no more than it can bear.
    ColdSpared,
    /// A data centre that is out gets no packet after a few seconds.
    OutSilent,
    /// Each caller gets the whole answer to its own request, and each upstream the whole request.
    WholeAnswers,
    /// What was refused as not run did not run.
    TrueRefusals,
    /// Work that is not idempotent runs at most once.
    AtMostOnce,
    /// A leaving upstream gets no new work after a few seconds.
    LeaverNoNewWork,
    /// A graceful shutdown cuts no request.
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
    /// The "few seconds" after which a change of membership must show everywhere.
    Millis settle = 3000;
    /// Within which an accepted configuration must be in force on every daemon.
    Millis configBound = 5000;
    /// How long after a failure a flow or request that it cut may still end by it: the longest silence limit and some.
    Millis notice = 10000;
    /// How long an agent may take to notice that its upstream turned cold without warning (a fault named at it).
    Millis coldDetect = 1000;
};

struct Violation {
    Promise promise = Promise::FlowSurvives;
    std::string text;
    /// The events that show it, in the order of time.
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
    /// Of flows opened, over the upstreams of one service: largest by mean; of the most uneven service. 0 without flows.
    double imbalance = 0;
};

struct CheckResult {
    std::vector<Violation> violations;
    HistorySummary summary;
};

/// Checks events in the order of time, as readHistory() yields them, against each promise.
CheckResult checkHistory(const std::vector<HistoryEvent>& events, const CheckOptions& options = {});

std::string toJson(const HistorySummary& summary);

}
