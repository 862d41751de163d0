#pragma once

#include "libmodel/experiment.h"
#include "libmodel/metrics.h"

#include <string>
#include <vector>

namespace kingcuptrail {

/// What one policy came to in an experiment.
struct PolicyResult {
    PolicyName policy = PolicyName::Full;
    Metrics metrics;
};

/// All results as JSON.
std::string toJson(const ExperimentSpec& experiment, const std::vector<PolicyResult>& results);

/// The results as a table, one column for each policy.
std::string toTable(const ExperimentSpec& experiment, const std::vector<PolicyResult>& results);

/// Requests answered in each second, one line for each policy, as SVG.
std::string toPlot(const ExperimentSpec& experiment, const std::vector<PolicyResult>& results);

}
