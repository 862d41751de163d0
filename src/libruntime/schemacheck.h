#pragma once

#include "libplatform/config.h"

#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <vector>

namespace kingcuptrail {

/// Checks a document against a JSON Schema and appends every fault, typed and with its place as a JSON pointer. Unknown
/// fields are all found when the schema says "additionalProperties": { "not": {} }.
void checkAgainstSchema(const nlohmann::json& document, std::string_view schema, std::vector<Fault>& faults);

}
