#include "result.h"

#include <nlohmann/json.hpp>

namespace kingcuptrail {

CommandResult makeResult(ExitCode code, std::string text, nlohmann::json members)
{
    members["result"] = nameOf(code);
    members["exitCode"] = static_cast<unsigned>(code);
    std::string problem;
    if (code != ExitCode::Success)
        problem.append(nameOf(code)).append(": ").append(meaningOf(code)).append("\n");
    return { .code = code, .text = std::move(text), .problem = std::move(problem), .json = members.dump() };
}

CommandResult makeResult(ExitCode code, std::string text)
{
    return makeResult(code, std::move(text), nlohmann::json::object());
}

}
