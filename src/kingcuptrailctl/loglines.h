#pragma once

#include "commands.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

/// Calls `take` with each line of the logs that `options` names, or of standard input. The result of a file that cannot be
/// read; nothing when all were read.
std::optional<CommandResult> readLogs(const CtlOptions& options, const std::function<void(const std::string&)>& take);

/// The JSON object of a line, also behind a collector's own time; not an object when there is none.
nlohmann::json logObject(const std::string& line);

/// A field of a line; empty or 0 where it is missing or of another type.
std::string textOf(const nlohmann::json& line, std::string_view field);
std::uint64_t numberOf(const nlohmann::json& line, std::string_view field);

}
