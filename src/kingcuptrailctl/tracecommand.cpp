#include "libruntime/events.h"
#include "loglines.h"
#include "table.h"

#include <algorithm>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    /// A log line about the flow.
    struct TraceLine {
        std::uint64_t time = 0;
        std::string process;
        std::string event;
        std::string fields;
        json document;
    };

    /// Whether a field has its own column or is the same in every line.
    bool isShownElsewhere(const std::string& field)
    {
        constexpr std::array<std::string_view, 6> names { "time", "level", "process", "event", "name", "flow" };
        return std::ranges::find(names, field) != names.end();
    }

    std::optional<TraceLine> readLine(const std::string& text, const std::string& flow)
    {
        if (text.find(flow) == std::string::npos)
            return std::nullopt;
        const json document = logObject(text);
        if (textOf(document, "flow") != flow)
            return std::nullopt;
        TraceLine line { .time = numberOf(document, "time"), .process = textOf(document, "process"), .event = textOf(document, "name"), .fields = {}, .document = document };
        for (const auto& [field, value] : document.items()) {
            if (!isShownElsewhere(field))
                line.fields += (line.fields.empty() ? "" : ", ") + field + " " + (value.is_string() ? value.get<std::string>() : value.dump());
        }
        return line;
    }

    std::string_view meaningOf(const std::string& event)
    {
        const auto table = eventTable();
        const auto found = std::ranges::find(table, event, &EventInfo::name);
        return found != table.end() ? found->meaning : std::string_view();
    }

}

CommandResult traceFlow(const std::string& flow, const CtlOptions& options)
{
    std::vector<TraceLine> lines;
    const auto failure = readLogs(options, [&](const std::string& text) {
        if (auto line = readLine(text, flow))
            lines.push_back(std::move(*line));
    });
    if (failure)
        return *failure;
    if (lines.empty())
        return makeResult(ExitCode::NotExplained, flow + "\n", { { "flow", flow } });
    std::ranges::stable_sort(lines, {}, &TraceLine::time);
    Table table({ "AFTER MS", "PROCESS", "EVENT", "WITH", "MEANS" });
    json list = json::array();
    for (const TraceLine& line : lines) {
        table.add({ std::to_string(line.time - lines.front().time), line.process, line.event, line.fields, std::string(meaningOf(line.event)) });
        list.push_back(line.document);
    }
    return makeResult(ExitCode::Success, table.text(), { { "flow", flow }, { "lines", list } });
}

}
