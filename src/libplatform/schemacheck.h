#pragma once

#include "config.h"

#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <vector>

namespace kingcuptrail {

/// Checks a document against a JSON Schema and adds every fault, typed and with its place as a JSON pointer. Unknown
/// fields are all found when the schema says "additionalProperties": { "not": {} }.
void checkAgainstSchema(const nlohmann::json& document, std::string_view schema, std::vector<Fault>& faults);

/// Parses `json` and checks it against a JSON Schema. Adds every fault found, a field that stands twice in one object too.
/// Yields the document when there was none.
std::optional<nlohmann::json> parseChecked(std::string_view json, std::string_view schema, std::vector<Fault>& faults);

/// A JSON pointer (RFC 6901) to a member of the value at `place`.
std::string placeOf(std::string_view place, std::string_view member);
std::string placeOf(std::string_view place, std::size_t index);

}
