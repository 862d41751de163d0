#include "exitcode.h"

#include "table.h"

namespace kingcuptrail {

namespace {

    constexpr std::array<std::string_view, EnumNames<ExitCode>::names.size()> meanings {
        "the command succeeded",
        "invalid command line",
        "the file cannot be read",
        "the configuration file has errors; each is listed with its kind and place",
        "the platform is unreachable; nothing was changed",
        "the platform did not answer, so the change may or may not have been accepted; run the same command again to find out",
        "another change was accepted meanwhile; nothing was changed, check diff before trying again",
        "no configuration has been applied yet",
        "no data centre has this name",
        "no data centre would remain in service; nothing was changed",
        "the object stored in the platform is not a valid configuration",
        "the platform rejected the write",
        "the configuration is not in force on every daemon; the output names those that lag",
        "the change was accepted, but the platform could not list the daemons; try status",
        "the daemon's administration endpoint does not return a valid answer",
        "no such code or reason, or no log line about the flow",
        "no daemon with this name is registered in the platform",
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
