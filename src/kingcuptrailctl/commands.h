#pragma once

#include "libplatform/platformclient.h"
#include "result.h"

#include <span>
#include <string>
#include <vector>

namespace kingcuptrail {

/// The flags of the command line.
struct CtlOptions {
    std::optional<asio::ip::tcp::endpoint> platform;
    /// Administration endpoints to query; if empty, those of the daemons registered in the platform.
    std::vector<asio::ip::tcp::endpoint> daemons;
    /// The administration endpoint that explain queries.
    std::optional<asio::ip::tcp::endpoint> daemon;
    /// Log files that trace, openings and spread read; if empty, standard input.
    std::vector<std::string> logs;
    /// Return only when the change is in force on every daemon.
    bool wait = false;
    /// Time limit of a change, and of the wait until it is in force, in milliseconds.
    Millis timeout = 30000;
};

using Command = CommandResult (*)(const std::string& argument, const CtlOptions& options);

struct CommandInfo {
    std::string_view name;
    /// Name of the argument in the usage; empty when the command has none.
    std::string_view argument;
    bool needsPlatform;
    Command run;
    std::string_view help;
};

std::span<const CommandInfo> commandTable();

/// The commands with their arguments and help texts, one per line.
std::string commandList();

/// Runs the command given by `words`. Returns a usage error when they are not a valid command.
CommandResult runCommand(std::span<const std::string> words, const CtlOptions& options);

CommandResult checkFile(const std::string& path, const CtlOptions& options);
CommandResult diffFile(const std::string& path, const CtlOptions& options);
CommandResult applyFile(const std::string& path, const CtlOptions& options);
CommandResult takeOut(const std::string& dataCentre, const CtlOptions& options);
CommandResult bringBack(const std::string& dataCentre, const CtlOptions& options);
CommandResult showStatus(const std::string& argument, const CtlOptions& options);
CommandResult explain(const std::string& code, const CtlOptions& options);
CommandResult showOpenings(const std::string& argument, const CtlOptions& options);
CommandResult showSpread(const std::string& argument, const CtlOptions& options);
CommandResult traceFlow(const std::string& flow, const CtlOptions& options);
CommandResult forgetDaemon(const std::string& name, const CtlOptions& options);

/// The platform client's options for this tool.
PlatformOptions platformOptions(const CtlOptions& options);

}
