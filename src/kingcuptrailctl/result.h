#pragma once

#include "exitcode.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace kingcuptrail {

/// The result of a command, as text and as JSON.
struct CommandResult {
    ExitCode code = ExitCode::Success;
    /// Text for standard output. Ends with a line break unless empty.
    std::string text;
    /// Error message for standard error. Ends with a line break; empty on success.
    std::string problem;
    /// The result as one JSON object, for scripts.
    std::string json;
};

/// Builds a result: adds "result" and "exitCode" to `members` as its JSON, and sets the error message of a failure.
CommandResult makeResult(ExitCode code, std::string text, nlohmann::json members);
CommandResult makeResult(ExitCode code, std::string text = {});

}
