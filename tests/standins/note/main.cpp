#include "standins/support/standin.h"

#include <absl/flags/flag.h>
#include <iostream>

ABSL_FLAG(std::string, history, "", "file that the event is appended to");
ABSL_FLAG(std::string, who, "operator", "name of the writer of the event");
ABSL_FLAG(std::string, event, "", "the event in JSON; its time is set to the current time");

using namespace kingcuptrail;

int main(int argc, char** argv)
{
    parseStandinFlags(argc, argv, "Appends one event to a history, for scripts that inject faults.");
    std::string json = absl::GetFlag(FLAGS_event);
    const auto begin = json.find('{');
    json.insert(begin == std::string::npos ? 0 : begin + 1, R"("t":1,)");
    HistoryError error = HistoryError::None;
    auto event = parseJsonLine(json, error);
    if (!event) {
        std::cerr << "not an event: " << nameOf(error) << "\n";
        return 2;
    }
    event->at = 0;
    if (const auto history = historyOrExit(absl::GetFlag(FLAGS_history), absl::GetFlag(FLAGS_who)))
        history->append(std::move(*event));
}
