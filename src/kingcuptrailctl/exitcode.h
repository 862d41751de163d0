#pragma once

#include "libdecision/enumnames.h"
#include "libplatform/configapply.h"

#include <string>

namespace kingcuptrail {

/// How a command ended, as the exit code of the process. Scripts compare these numbers: add at the end only.
enum class ExitCode : std::uint8_t {
    Success,
    Usage,
    FileUnreadable,
    FileFaults,
    PlatformUnreachable,
    OutcomeUnknown,
    Conflict,
    NoConfig,
    UnknownDataCentre,
    AllOut,
    BadManifest,
    Refused,
    DaemonsLag,
    DaemonsUnknown,
    DaemonUnreachable,
    NotExplained,
    UnknownDaemon,
};

template <>
struct EnumNames<ExitCode> {
    static constexpr std::array<std::string_view, 17> names {
        "success",
        "usage",
        "fileUnreadable",
        "fileFaults",
        "platformUnreachable",
        "outcomeUnknown",
        "conflict",
        "noConfig",
        "unknownDataCentre",
        "allOut",
        "badManifest",
        "refused",
        "daemonsLag",
        "daemonsUnknown",
        "daemonUnreachable",
        "notExplained",
        "unknownDaemon",
    };
};

/// What an exit code means to an operator.
std::string_view meaningOf(ExitCode code);

/// All exit codes with their numbers, names and meanings, one a line.
std::string exitCodeTable();

ExitCode exitCodeOf(ApplyError error);
ExitCode exitCodeOf(PlatformError error);

}
