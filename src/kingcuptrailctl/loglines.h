#pragma once

#include "commands.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

/// Calls `onLine` for each line of the log files in `options`, or else of standard input. Returns an error result when a file
/// cannot be read, otherwise nothing.
std::optional<CommandResult> readLogs(const CtlOptions& options, const std::function<void(const std::string&)>& onLine);

/// The JSON object in a line, which may follow a prefix such as a log collector's timestamp. Not a JSON object when the
/// line contains none.
nlohmann::json logObject(const std::string& line);

/// The value of a field; empty or 0 when it is missing or of another type.
std::string textOf(const nlohmann::json& line, std::string_view field);
std::uint64_t numberOf(const nlohmann::json& line, std::string_view field);

/// The value below which the fraction `part` of the values lies; 0 without values.
std::uint64_t quantile(std::vector<std::uint64_t> values, double part);

}
