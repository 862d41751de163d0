#pragma once

#include "libdecision/enumnames.h"

namespace kingcuptrail {

/// How the daemon's process ended.
enum class ExitCode : int {
    Success = 0,
    /// A second signal ended a graceful shutdown before it was done.
    StoppedEarly = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings file cannot be read or has faults.
    SettingsRefused = 3,
    /// The root of the supervisor tree gave up.
    GaveUp = 4,
};

}
