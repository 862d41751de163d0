#pragma once

#include "config.h"

#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <vector>

namespace kingcuptrail {

/// Validates a document against a JSON Schema and adds every fault with its kind and its location as a JSON pointer. All
/// unknown fields are found if the schema says "additionalProperties": { "not": {} }.
void checkAgainstSchema(const nlohmann::json& document, std::string_view schema, std::vector<Fault>& faults);

/// Parses `json` and validates it against a JSON Schema. Adds every fault found, including duplicate fields of an object.
/// Returns the document if there was none.
std::optional<nlohmann::json> parseChecked(std::string_view json, std::string_view schema, std::vector<Fault>& faults);

/// Appends a member's name or an index to the JSON pointer (RFC 6901) `place`.
std::string childPointer(std::string_view place, std::string_view member);
std::string childPointer(std::string_view place, std::size_t index);

}
