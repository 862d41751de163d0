#pragma once

#include "libdecision/enumnames.h"
#include "libplatform/configapply.h"

#include <string>

namespace kingcuptrail {

/// The result of a command and exit code of the process. Scripts depend on the numbers, so new codes are only appended.
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

/// The meaning of an exit code, for the operator.
std::string_view meaningOf(ExitCode code);

/// A table of all exit codes with their numbers, names and meanings.
std::string exitCodeTable();

ExitCode exitCodeOf(ApplyError error);
ExitCode exitCodeOf(PlatformError error);

}
