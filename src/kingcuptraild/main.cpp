#include "daemon.h"
#include "exitcode.h"
#include "libruntime/events.h"
#include "platform/trustadapter.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, settings, "", "settings file (JSON), see docs/SETTINGS.md");
ABSL_FLAG(bool, check, false, "only check the settings file: print each fault, exit 0 when there is none");

namespace {

using namespace kingcuptrail;

constexpr const char* usage = "The kingcuptrail daemon: balancer or agent, as its settings say.\n"
                              "  kingcuptraild --settings=FILE [--check]\n"
                              "SIGTERM shuts down gracefully, a second one at once.\n"
                              "Exit codes: 0 done, 1 stopped early, 2 usage, 3 settings refused, 4 gave up.";

std::optional<Settings> readSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    std::vector<Fault> faults;
    auto settings = parseSettings(text.str(), faults);
    for (const Fault& fault : faults)
        std::cerr << path << ": " << nameOf(fault.kind) << " at " << (fault.place.empty() ? "/" : fault.place) << ": " << fault.detail << "\n";
    return settings;
}

int toInt(ExitCode code)
{
    return static_cast<int>(code);
}

}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(usage);
    absl::FlagsUsageConfig usageConfig;
    usageConfig.version_string = [] { return std::string("kingcuptraild ") + KINGCUPTRAIL_VERSION + "\n"; };
    absl::SetFlagsUsageConfig(usageConfig);
    const auto rest = absl::ParseCommandLine(argc, argv);
    std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty())
        path = trustSettingsPath();
    if (rest.size() > 1 || path.empty()) {
        std::cerr << usage << "\n";
        return toInt(ExitCode::Usage);
    }
    auto settings = readSettings(path);
    if (!settings) {
        if (!absl::GetFlag(FLAGS_check) && startLogging("kingcuptraild", "info"))
            logEvent(Event::SettingsRefused, { { "file", path } });
        return toInt(ExitCode::SettingsRefused);
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << path << ": no fault\n";
        return toInt(ExitCode::Success);
    }
    if (!startLogging(settings->name, settings->logLevel, settings->logFormat))
        return toInt(ExitCode::SettingsRefused);
    Daemon daemon(std::move(*settings), path);
    return daemon.run();
}
