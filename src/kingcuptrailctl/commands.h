#pragma once

#include "libplatform/platformclient.h"
#include "result.h"

#include <span>
#include <string>
#include <vector>

namespace kingcuptrail {

/// What the command line says besides the command and its argument.
struct CtlOptions {
    std::optional<asio::ip::tcp::endpoint> platform;
    /// Administration endpoints to ask; empty means those that the platform knows.
    std::vector<asio::ip::tcp::endpoint> daemons;
    /// The one daemon that explain asks.
    std::optional<asio::ip::tcp::endpoint> daemon;
    /// Log files that trace and openings read; empty means standard input.
    std::vector<std::string> logs;
    /// Return only when the change is in force on every daemon.
    bool wait = false;
    /// Limit of a change, and of the wait for it to be in force, in milliseconds.
    Millis timeout = 30000;
};

using Command = CommandResult (*)(const std::string& argument, const CtlOptions& options);

struct CommandInfo {
    std::string_view name;
    /// How the argument is called in the usage; empty when there is none.
    std::string_view argument;
    bool needsPlatform;
    Command run;
    std::string_view help;
};

std::span<const CommandInfo> commandTable();

/// The commands with their arguments, one a line.
std::string commandList();

/// Runs the command that `words` name, or says what is wrong with them.
CommandResult runCommand(std::span<const std::string> words, const CtlOptions& options);

CommandResult checkFile(const std::string& path, const CtlOptions& options);
CommandResult diffFile(const std::string& path, const CtlOptions& options);
CommandResult applyFile(const std::string& path, const CtlOptions& options);
CommandResult takeOut(const std::string& dataCentre, const CtlOptions& options);
CommandResult bringBack(const std::string& dataCentre, const CtlOptions& options);
CommandResult showStatus(const std::string& argument, const CtlOptions& options);
CommandResult explain(const std::string& code, const CtlOptions& options);
CommandResult showOpenings(const std::string& argument, const CtlOptions& options);
CommandResult traceFlow(const std::string& flow, const CtlOptions& options);
CommandResult forgetDaemon(const std::string& name, const CtlOptions& options);

/// The platform's options for this tool.
PlatformOptions platformOptions(const CtlOptions& options);

}
