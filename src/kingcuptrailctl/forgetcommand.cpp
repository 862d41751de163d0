#include "blocking.h"
#include "commands.h"
#include "daemons.h"

#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    struct ObjectCallResult {
        ObjectVersion version = 0;
        PlatformError error = PlatformError::NoAnswer;
    };

}

// Removes only the version of the entry that was read, so that a daemon that registers again meanwhile is kept.
CommandResult forgetDaemon(const std::string& name, const CtlOptions& options)
{
    asio::io_context context;
    PlatformClient client(context, platformOptions(options));
    const auto entry = awaitResult<ObjectCallResult>(context, [&](const std::function<void(ObjectCallResult)>& done) {
        client.get(daemonKind, name, [done](const std::optional<PlatformObject>& object, PlatformError error) { done({ .version = object ? object->version : 0, .error = error }); });
    });
    ObjectCallResult removal = entry;
    if (entry.error == PlatformError::None) {
        removal = awaitResult<ObjectCallResult>(context, [&](const std::function<void(ObjectCallResult)>& done) {
            client.remove(daemonKind, name, entry.version, [done](std::optional<ObjectVersion>, PlatformError error) { done({ .error = error }); });
        });
    }
    if (removal.error == PlatformError::NotFound)
        return makeResult(ExitCode::UnknownDaemon);
    if (removal.error == PlatformError::NoAnswer && entry.error == PlatformError::None)
        return makeResult(ExitCode::OutcomeUnknown);
    if (removal.error != PlatformError::None)
        return makeResult(exitCodeOf(removal.error), {}, { { "platformError", nameOf(removal.error) } });
    return makeResult(ExitCode::Success, name + ": removed\n", { { "name", name } });
}

}
