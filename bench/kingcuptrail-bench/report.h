#pragma once

#include "libmodel/experiment.h"
#include "libmodel/metrics.h"

#include <string>
#include <vector>

namespace kingcuptrail {

/// The metrics of an experiment under one policy.
struct PolicyResult {
    PolicyName policy = PolicyName::Full;
    Metrics metrics;
};

/// The results of all policies as a JSON document.
std::string toJson(const ExperimentSpec& experiment, const std::vector<PolicyResult>& results);

/// The results as a text table with one column for each policy.
std::string toTable(const ExperimentSpec& experiment, const std::vector<PolicyResult>& results);

/// A plot of the requests answered in each second, with one line for each policy, as an SVG document.
std::string toPlot(const ExperimentSpec& experiment, const std::vector<PolicyResult>& results);

}
