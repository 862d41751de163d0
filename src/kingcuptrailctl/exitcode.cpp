#include "exitcode.h"

#include "table.h"

namespace kingcuptrail {

namespace {

    constexpr std::array<std::string_view, EnumNames<ExitCode>::names.size()> meanings {
        "done",
        "the command line is wrong",
        "the file cannot be read",
        "the file has faults; each is listed with its kind and place",
        "the platform cannot be reached; nothing was changed",
        "no answer came: the change may or may not be accepted; run the same command again to find out",
        "another change was accepted in between; nothing was changed, look at diff and decide again",
        "no configuration was accepted yet",
        "no data centre has this name",
        "no data centre would be left to serve; nothing was changed",
        "the platform holds something that is not a configuration",
        "the platform refused the write",
        "accepted, but not in force on every daemon; those that lag are named",
        "accepted, but the daemons could not be learned from the platform; try status",
        "the daemon's administration endpoint does not answer",
        "there is no such code or reason",
        "no daemon has this name",
    };

}

std::string_view meaningOf(ExitCode code)
{
    return meanings[static_cast<std::size_t>(code)];
}

std::string exitCodeTable()
{
    Table table({ "CODE", "NAME", "MEANING" });
    for (std::size_t number = 0; number < meanings.size(); ++number)
        table.add({ std::to_string(number), std::string(EnumNames<ExitCode>::names[number]), std::string(meanings[number]) });
    return table.text();
}

ExitCode exitCodeOf(ApplyError error)
{
    switch (error) {
    case ApplyError::None:
        return ExitCode::Success;
    case ApplyError::PlatformUnreachable:
        return ExitCode::PlatformUnreachable;
    case ApplyError::OutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    case ApplyError::Conflict:
        return ExitCode::Conflict;
    case ApplyError::NoConfig:
        return ExitCode::NoConfig;
    case ApplyError::UnknownDataCentre:
        return ExitCode::UnknownDataCentre;
    case ApplyError::AllOut:
        return ExitCode::AllOut;
    case ApplyError::BadManifest:
        return ExitCode::BadManifest;
    case ApplyError::Refused:
        break;
    }
    return ExitCode::Refused;
}

ExitCode exitCodeOf(PlatformError error)
{
    switch (error) {
    case PlatformError::None:
        return ExitCode::Success;
    case PlatformError::NotFound:
        return ExitCode::NoConfig;
    case PlatformError::Conflict:
        return ExitCode::Conflict;
    case PlatformError::BadAnswer:
        return ExitCode::BadManifest;
    case PlatformError::Refused:
        return ExitCode::Refused;
    case PlatformError::Unreachable:
    case PlatformError::NoAnswer:
    case PlatformError::Gone:
        break;
    }
    return ExitCode::PlatformUnreachable;
}

}
