#include "libhistory/checker.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>

ABSL_FLAG(std::int64_t, settle_ms, 3000, "time in milliseconds within which a change of membership must be visible to all processes");
ABSL_FLAG(std::int64_t, config_ms, 5000, "time in milliseconds within which an accepted configuration must be in force in all processes");
ABSL_FLAG(std::int64_t, cold_detect_ms, 1000, "time in milliseconds within which an unannounced cold start must be detected");

using namespace kingcuptrail;

namespace {

constexpr int exitViolation = 1;
constexpr int exitUnreadable = 2;

void print(const Violation& violation)
{
    std::cout << nameOf(violation.promise) << ": " << violation.text << "\n";
    for (const HistoryEvent& event : violation.events)
        std::cout << "    " << toJsonLine(event) << "\n";
}

}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Checks history files against the ten promises: kingcuptrail-check FILE...\n"
                                 "Prints each violation with its events, then a summary in JSON. Exit codes: 1 if a promise was broken, "
                                 "2 if a file cannot be read.");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    HistoryFault fault;
    const auto events = readHistory({ arguments.begin() + 1, arguments.end() }, fault);
    if (!events) {
        std::cerr << fault.file << ":" << fault.line << ": " << nameOf(fault.error) << "\n";
        return exitUnreadable;
    }
    const auto result = checkHistory(*events, { .settle = absl::GetFlag(FLAGS_settle_ms), .configBound = absl::GetFlag(FLAGS_config_ms), .coldDetect = absl::GetFlag(FLAGS_cold_detect_ms) });
    for (const Violation& violation : result.violations)
        print(violation);
    std::cout << toJson(result.summary) << "\n";
    return result.violations.empty() ? 0 : exitViolation;
}
