#include "commands.h"
#include "libruntime/settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <algorithm>
#include <iostream>

ABSL_FLAG(std::string, platform, "", "the platform's object API, as ADDRESS:PORT");
ABSL_FLAG(std::vector<std::string>, daemons, {}, "administration endpoints to ask, ADDRESS:PORT,...; otherwise those that the platform knows");
ABSL_FLAG(std::string, daemon, "", "for explain: the administration endpoint of one daemon to ask about the reason");
ABSL_FLAG(std::vector<std::string>, logs, {}, "for trace and openings: log files, FILE,...; otherwise standard input");
ABSL_FLAG(bool, json, false, "print one JSON object");
ABSL_FLAG(bool, wait, false, "return only when the change is in force on every daemon, or name those that lag");
ABSL_FLAG(double, timeout, 30, "seconds after which a change, and the wait for it, are given up");

namespace {

using namespace kingcuptrail;

constexpr const char* flagHelp = "flags:\n"
                                 "  --platform=ADDRESS:PORT      the platform's object API\n"
                                 "  --daemons=ADDRESS:PORT,...   administration endpoints to ask; otherwise those that the platform knows\n"
                                 "  --daemon=ADDRESS:PORT        for explain: one daemon to ask about the reason\n"
                                 "  --logs=FILE,...              for trace and openings: log files; otherwise standard input\n"
                                 "  --wait                       return only when the change is in force on every daemon\n"
                                 "  --timeout=SECONDS            after which a change, and the wait for it, are given up (30)\n"
                                 "  --json                       print one JSON object\n"
                                 "  --version, --help\n";

std::string usage()
{
    return std::string("kingcuptrailctl [flags] COMMAND [ARGUMENT]\n\ncommands:\n") + commandList() + "\n" + flagHelp + "\nexit codes:\n" + exitCodeTable();
}

/// Abseil's own help ends with exit code 1 and lists only flags.
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
        return print(makeResult(ExitCode::Usage, "an address is ADDRESS:PORT with an IP number, and a timeout is above 0\n"));
    const std::vector<std::string> words(rest.begin() + 1, rest.end());
    return print(runCommand(words, *options));
}
