#include "commands.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    constexpr auto commands = std::to_array<CommandInfo>({
        { "check", "FILE", false, checkFile, "list every fault of a configuration file" },
        { "diff", "FILE", true, diffFile, "show what applying a file would change" },
        { "apply", "FILE", true, applyFile, "accept a file as a whole, or change nothing" },
        { "take-out", "NAME", true, takeOut, "take a data centre out: it gets no packets, its flows are given up" },
        { "bring-back", "NAME", true, bringBack, "bring a data centre back" },
        { "status", "", true, showStatus, "show the configuration, the daemons and the upstreams" },
        { "explain", "CODE|REASON", false, explain, "say what an event number or a reason means and what to do" },
        { "trace", "FLOW", false, traceFlow, "walk through the lines about one flow, from logs or standard input" },
        { "openings", "SPAN", false, showOpenings, "count what became of openings in each span of so many milliseconds, from logs or standard input" },
        { "forget", "NAME", true, forgetDaemon, "remove the entry of a daemon that will not come back" },
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
        return makeResult(ExitCode::Usage, "there is no command " + words[0] + "; commands:\n" + commandList());
    const std::size_t wantedWords = found->argument.empty() ? 1 : 2;
    if (words.size() != wantedWords)
        return makeResult(ExitCode::Usage, "usage: kingcuptrailctl " + usageOf(*found) + "\n");
    if (found->needsPlatform && !options.platform)
        return makeResult(ExitCode::Usage, "this command needs --platform=ADDRESS:PORT\n");
    return found->run(wantedWords == 2 ? words[1] : std::string(), options);
}

PlatformOptions platformOptions(const CtlOptions& options)
{
    return { .server = options.platform.value_or(asio::ip::tcp::endpoint()), .client = "kingcuptrailctl" };
}

}
