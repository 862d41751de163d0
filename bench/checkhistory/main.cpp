#include "libhistory/checker.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>

ABSL_FLAG(std::string, note, "", "a JSON event to append to the one file named, with the time of now, in place of a check");
ABSL_FLAG(std::string, who, "operator", "who saw the event of --note");
ABSL_FLAG(std::uint64_t, shown, 10, "violations that are printed at most");

using namespace kingcuptrail;

namespace {

enum ExitCode {
    promisesHeld = 0,
    promiseBroken = 1,
    badUsage = 2,
    badHistory = 3,
};

int note(const std::string& file)
{
    std::string json = absl::GetFlag(FLAGS_note);
    json.insert(json.find('{') + 1, R"("t":1,)");
    HistoryError error = HistoryError::None;
    auto event = parseJsonLine(json, error);
    if (!event) {
        std::cerr << "not an event: " << nameOf(error) << "\n";
        return badUsage;
    }
    const auto writer = HistoryWriter::open(file, absl::GetFlag(FLAGS_who));
    if (!writer)
        return badHistory;
    event->at = 0;
    writer->append(std::move(*event));
    return promisesHeld;
}

void print(const Violation& violation)
{
    std::cout << nameOf(violation.promise) << ": " << violation.text << "\n";
    for (const HistoryEvent& event : violation.events)
        std::cout << "    " << toJsonLine(event) << "\n";
}

}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Checks histories against the promises; the last line is a summary in JSON. Exit codes: 0 all held, "
                                 "1 a promise broke, 2 wrong usage, 3 a history cannot be read.");
    const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> files(arguments.begin() + 1, arguments.end());
    if (files.empty())
        return badUsage;
    if (!absl::GetFlag(FLAGS_note).empty())
        return note(files.front());
    HistoryFault fault;
    const auto events = readHistory(files, fault);
    if (!events) {
        std::cerr << fault.file << ":" << fault.line << ": " << nameOf(fault.error) << "\n";
        return badHistory;
    }
    const CheckResult result = checkHistory(*events);
    for (std::size_t index = 0; index < result.violations.size() && index < absl::GetFlag(FLAGS_shown); ++index)
        print(result.violations[index]);
    if (!result.violations.empty())
        std::cout << result.violations.size() << " violations\n";
    std::cout << toJson(result.summary) << "\n";
    return result.violations.empty() ? promisesHeld : promiseBroken;
}
