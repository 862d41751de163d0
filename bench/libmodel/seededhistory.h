#pragma once

#include "experiment.h"
#include "libhistory/checker.h"

namespace kingcuptrail {

/// A small deployment with many callers, and failures that overlap, all drawn from the seed.
ExperimentSpec drawExperiment(std::uint64_t seed);

struct SeededHistory {
    CheckResult result;
    std::vector<HistoryEvent> events;
};

/// Runs the history of a seed and checks it against every promise; `guard` is left out of the decisions.
SeededHistory runSeededHistory(std::uint64_t seed, GuardOff guard = GuardOff::None);

}
