#include "commands.h"
#include "libruntime/settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <algorithm>
#include <iostream>

ABSL_FLAG(std::string, platform, "", "the platform's object API, as ADDRESS:PORT");
ABSL_FLAG(std::vector<std::string>, daemons, {}, "administration endpoints to query, ADDRESS:PORT,...; by default those of the daemons registered in the platform");
ABSL_FLAG(std::string, daemon, "", "for explain: the administration endpoint of a daemon whose counts of the reason are shown");
ABSL_FLAG(std::vector<std::string>, logs, {}, "for trace, openings and spread: log files, FILE,...; by default standard input");
ABSL_FLAG(bool, json, false, "print one JSON object");
ABSL_FLAG(bool, wait, false, "wait until the change is in force on every daemon; after the timeout, list the daemons where it is not");
ABSL_FLAG(double, timeout, 30, "time limit in seconds of a change, and of the wait until it is in force");

namespace {

using namespace kingcuptrail;

constexpr const char* flagHelp = "flags:\n"
                                 "  --platform=ADDRESS:PORT      the platform's object API\n"
                                 "  --daemons=ADDRESS:PORT,...   administration endpoints to query; by default those of the daemons registered in the platform\n"
                                 "  --daemon=ADDRESS:PORT        for explain: a daemon whose counts of the reason are shown\n"
                                 "  --logs=FILE,...              for trace, openings and spread: log files; by default standard input\n"
                                 "  --wait                       wait until the change is in force on every daemon\n"
                                 "  --timeout=SECONDS            time limit of a change, and of the wait until it is in force (30)\n"
                                 "  --json                       print one JSON object\n"
                                 "  --version, --help\n";

std::string usage()
{
    return std::string("kingcuptrailctl [flags] COMMAND [ARGUMENT]\n\ncommands:\n") + commandList() + "\n" + flagHelp + "\nexit codes:\n" + exitCodeTable();
}

/// Replaces Abseil's built-in help, which ends with exit code 1 and lists only flags.
bool isHelpWanted(int argc, char** argv)
{
    return std::any_of(argv + 1, argv + argc, [](std::string_view word) { return word == "--help" || word == "-h" || word == "help"; });
}

bool parseInto(std::optional<asio::ip::tcp::endpoint>& endpoint, const std::string& text)
{
    endpoint = parseEndpoint(text);
    return text.empty() || endpoint;
}

std::optional<CtlOptions> parseOptions()
{
    CtlOptions options { .logs = absl::GetFlag(FLAGS_logs), .wait = absl::GetFlag(FLAGS_wait), .timeout = static_cast<Millis>(absl::GetFlag(FLAGS_timeout) * 1000) };
    if (!parseInto(options.platform, absl::GetFlag(FLAGS_platform)) || !parseInto(options.daemon, absl::GetFlag(FLAGS_daemon)) || options.timeout <= 0)
        return std::nullopt;
    for (const std::string& text : absl::GetFlag(FLAGS_daemons)) {
        const auto endpoint = parseEndpoint(text);
        if (!endpoint)
            return std::nullopt;
        options.daemons.push_back(*endpoint);
    }
    return options;
}

int print(const CommandResult& result)
{
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << result.json << std::endl;
    } else {
        std::cout << result.text << std::flush;
        std::cerr << result.problem;
    }
    return static_cast<int>(result.code);
}

}

int main(int argc, char** argv)
{
    if (isHelpWanted(argc, argv)) {
        std::cout << usage();
        return 0;
    }
    absl::SetProgramUsageMessage(usage());
    absl::FlagsUsageConfig usageConfig;
    usageConfig.version_string = [] { return std::string("kingcuptrailctl ") + KINGCUPTRAIL_VERSION + "\n"; };
    absl::SetFlagsUsageConfig(usageConfig);
    const auto rest = absl::ParseCommandLine(argc, argv);
    const auto options = parseOptions();
    if (!options)
        return print(makeResult(ExitCode::Usage, "invalid flag: an endpoint is ADDRESS:PORT with a numeric IP address, and a timeout is greater than 0\n"));
    const std::vector<std::string> words(rest.begin() + 1, rest.end());
    return print(runCommand(words, *options));
}
