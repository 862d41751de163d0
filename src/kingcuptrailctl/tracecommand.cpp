#include "commands.h"
#include "libruntime/events.h"
#include "table.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    /// One line of a log that is about the flow.
    struct TraceLine {
        std::uint64_t time = 0;
        std::string process;
        std::string event;
        std::string fields;
        json document;
    };

    /// Fields that have a column of their own, or are the same in every line.
    bool isShownElsewhere(const std::string& field)
    {
        constexpr std::array<std::string_view, 6> names { "time", "level", "process", "event", "name", "flow" };
        return std::ranges::find(names, field) != names.end();
    }

    std::optional<TraceLine> readLine(const std::string& text, const std::string& flow)
    {
        // What comes before the object, as a collector's own time, is passed over.
        const auto start = text.find('{');
        if (start == std::string::npos || text.find(flow) == std::string::npos)
            return std::nullopt;
        const json document = json::parse(text.substr(start), nullptr, false);
        if (!document.is_object() || document.value("flow", "") != flow)
            return std::nullopt;
        TraceLine line { .time = document.value("time", std::uint64_t { 0 }), .process = document.value("process", ""), .event = document.value("name", ""), .fields = {}, .document = document };
        for (const auto& [field, value] : document.items()) {
            if (!isShownElsewhere(field))
                line.fields += (line.fields.empty() ? "" : ", ") + field + " " + (value.is_string() ? value.get<std::string>() : value.dump());
        }
        return line;
    }

    void readAll(std::istream& input, const std::string& flow, std::vector<TraceLine>& lines)
    {
        for (std::string text; std::getline(input, text);) {
            if (auto line = readLine(text, flow))
                lines.push_back(std::move(*line));
        }
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
    if (options.logs.empty())
        readAll(std::cin, flow, lines);
    for (const std::string& path : options.logs) {
        std::ifstream file(path);
        if (!file)
            return makeResult(ExitCode::FileUnreadable, path + ": cannot be read\n", { { "file", path } });
        readAll(file, flow, lines);
    }
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
