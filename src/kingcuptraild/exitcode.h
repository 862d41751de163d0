#pragma once

#include "libdecision/enumnames.h"

namespace kingcuptrail {

/// Exit code of the daemon process.
enum class ExitCode : int {
    Success = 0,
    /// A second signal ended the graceful shutdown early.
    StoppedEarly = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings file cannot be read or has faults.
    SettingsRefused = 3,
    /// The root supervisor gave up, or the role could not start.
    GaveUp = 4,
};

}
