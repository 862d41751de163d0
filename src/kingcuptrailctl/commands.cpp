#include "commands.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    constexpr auto commands = std::to_array<CommandInfo>({
        { "check", "FILE", false, checkFile, "validate a configuration file and list all errors" },
        { "diff", "FILE", true, diffFile, "show the changes that applying a file would make" },
        { "apply", "FILE", true, applyFile, "apply a configuration file, completely or not at all" },
        { "take-out", "NAME", true, takeOut, "take a data centre out of service: it gets no more packets, and its flows end" },
        { "bring-back", "NAME", true, bringBack, "return a data centre to service" },
        { "status", "", true, showStatus, "show the configuration and the state of daemons and upstreams" },
        { "explain", "CODE|REASON", false, explain, "explain an event number or a reason, and what to do about it" },
        { "trace", "FLOW", false, traceFlow, "list the log lines about one flow in order of time, from log files or standard input" },
        { "openings", "SPAN", false, showOpenings, "count the results of flow openings per interval of SPAN milliseconds, from log files or standard input" },
        { "spread", "", false, showSpread, "show how long each change took to reach half, nine tenths and all of the processes, from log files or standard input" },
        { "forget", "NAME", true, forgetDaemon, "remove a daemon that will not return from the platform's list" },
    });

    std::string usageOf(const CommandInfo& command)
    {
        std::string usage(command.name);
        if (!command.argument.empty())
            usage.append(" ").append(command.argument);
        return usage;
    }

}

std::span<const CommandInfo> commandTable()
{
    return commands;
}

std::string commandList()
{
    constexpr std::size_t usageWidth = 24;
    std::string text;
    for (const CommandInfo& command : commands) {
        std::string usage = usageOf(command);
        usage.resize(std::max(usage.size() + 1, usageWidth), ' ');
        text.append("  ").append(usage).append(command.help).append("\n");
    }
    return text;
}

CommandResult runCommand(std::span<const std::string> words, const CtlOptions& options)
{
    if (words.empty())
        return makeResult(ExitCode::Usage, "commands:\n" + commandList());
    const auto found = std::find_if(commands.begin(), commands.end(), [&words](const CommandInfo& command) { return command.name == words[0]; });
    if (found == commands.end())
        return makeResult(ExitCode::Usage, "unknown command " + words[0] + "; commands:\n" + commandList());
    const std::size_t wantedWords = found->argument.empty() ? 1 : 2;
    if (words.size() != wantedWords)
        return makeResult(ExitCode::Usage, "usage: kingcuptrailctl " + usageOf(*found) + "\n");
    if (found->needsPlatform && !options.platform)
        return makeResult(ExitCode::Usage, "this command requires --platform=ADDRESS:PORT\n");
    return found->run(wantedWords == 2 ? words[1] : std::string(), options);
}

PlatformOptions platformOptions(const CtlOptions& options)
{
    return { .server = options.platform.value_or(asio::ip::tcp::endpoint()), .client = "kingcuptrailctl" };
}

}
