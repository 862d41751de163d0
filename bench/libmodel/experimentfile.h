#pragma once

#include "experiment.h"
#include "libplatform/config.h"

#include <optional>
#include <string_view>
#include <vector>

namespace kingcuptrail {

/// Parses an experiment file. Returns nothing if there is any fault; all faults are appended to `faults`, each with its kind
/// and its place in the document.
std::optional<ExperimentSpec> parseExperiment(std::string_view json, std::vector<Fault>& faults);

}
