#pragma once

#include "experiment.h"
#include "libplatform/config.h"

#include <optional>
#include <string_view>
#include <vector>

namespace kingcuptrail {

/// Reads an experiment file. Nothing when there is any fault; `faults` lists all of them by kind and place.
std::optional<ExperimentSpec> parseExperiment(std::string_view json, std::vector<Fault>& faults);

}
