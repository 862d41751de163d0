#pragma once

#include "config.h"

#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <vector>

namespace kingcuptrail {

/// Parses `json` and checks it against a JSON Schema. Adds every fault found, NotJson being the only one of its kind.
/// Yields the document when there was none.
std::optional<nlohmann::json> parseChecked(std::string_view json, std::string_view schema, std::vector<Fault>& faults);

/// A JSON pointer (RFC 6901) to a member of the value at `place`.
std::string placeOf(std::string_view place, std::string_view member);
std::string placeOf(std::string_view place, std::size_t index);

}
