#pragma once

#include "deployment.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

namespace review {

/// How a run ended; the exit code of a case's script.
enum class Outcome : std::uint8_t {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

struct RunOptions {
    std::string recordPath;
    std::string folder;
    /// Without it the run does the same without the disruption.
    bool hasTrouble = true;
};

/// Reads `RECORD FOLDER` from the command line and TROUBLE from the environment.
inline RunOptions runOptions(int argc, char** argv)
{
    const char* trouble = std::getenv("TROUBLE");
    return {
        .recordPath = argc > 1 ? argv[1] : "record.txt",
        .folder = argc > 2 ? argv[2] : std::filesystem::temp_directory_path().string(),
        .hasTrouble = !trouble || std::string(trouble) != "0",
    };
}

inline int finish(Record& record, Outcome outcome, const std::string& line)
{
    const char* word = outcome == Outcome::Held ? "HELD" : (outcome == Outcome::Broken ? "BROKEN" : "COULD NOT RUN");
    record.add(std::string(word) + ": " + line);
    std::cout << word << ": " << line << "\n";
    return static_cast<int>(outcome);
}

/// Starts the deployment and waits until its fronts are ready and its targets have reported. Returns false when that takes longer than
/// `limit`.
inline bool startAndWait(Deployment& deployment, Millis limit)
{
    if (!deployment.start())
        return false;
    constexpr Millis step = 100;
    for (Millis waited = 0; waited < limit; waited += step) {
        deployment.runFor(step);
        const bool haveReported = std::ranges::all_of(deployment.machines(), [](const auto& machine) { return !machine->target || machine->target->reportsConfirmed() >= 2; });
        if (deployment.allReady() && haveReported)
            return true;
    }
    return false;
}

}
