#pragma once

#include "experiment.h"
#include "libhistory/checker.h"

namespace kingcuptrail {

/// Generates an experiment from a seed: a small deployment with many callers and overlapping failures.
ExperimentSpec generateExperiment(std::uint64_t seed);

struct SeededHistory {
    CheckResult result;
    std::vector<HistoryEvent> events;
};

/// Runs the experiment of a seed with `guard` disabled, and checks the recorded history against every promise.
SeededHistory runSeededHistory(std::uint64_t seed, DisabledGuard guard = DisabledGuard::None);

}
