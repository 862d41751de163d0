#pragma once

#include "exitcode.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace kingcuptrail {

/// What a command has to say, in both forms.
struct CommandResult {
    ExitCode code = ExitCode::Success;
    /// For people, with a line break at the end.
    std::string text;
    /// For people, what went wrong, with a line break at the end; empty on success.
    std::string problem;
    /// For scripts: one JSON object.
    std::string json;
};

/// Adds "result" and "exitCode" to the members, and says what a failure means.
CommandResult makeResult(ExitCode code, std::string text, nlohmann::json members);
CommandResult makeResult(ExitCode code, std::string text = {});

}
