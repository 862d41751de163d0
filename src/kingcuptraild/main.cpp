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
ABSL_FLAG(bool, check, false, "only check the settings file: print every fault and exit with 0 if there is none");

namespace {

using namespace kingcuptrail;

constexpr const char* usage = "The kingcuptrail daemon: runs as a balancer or an agent, depending on its settings.\n"
                              "  kingcuptraild --settings=FILE [--check]\n"
                              "SIGTERM starts a graceful shutdown; a second one stops the process at once.\n"
                              "Exit codes: 0 success, 1 stopped early by a second signal, 2 wrong usage, 3 invalid settings, 4 start failed or too many failures.";

std::optional<Settings> readSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot read the settings file\n";
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
        std::cout << path << ": the settings are valid\n";
        return toInt(ExitCode::Success);
    }
    if (!startLogging(settings->name, settings->logLevel, settings->logFormat))
        return toInt(ExitCode::SettingsRefused);
    Daemon daemon(std::move(*settings), path);
    return daemon.run();
}
