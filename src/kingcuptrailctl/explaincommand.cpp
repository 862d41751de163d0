#include "commands.h"
#include "daemons.h"
#include "explanations.h"
#include "table.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    constexpr Millis queryTimeout = 2000;

    /// A counter of a daemon's metrics with the reason as label.
    struct ReasonCount {
        std::string metric;
        std::uint64_t count = 0;
    };

    /// Parses metrics lines such as: kingcuptrail_refusals_total{reason="queueFull"} 3
    std::vector<ReasonCount> countsOf(const std::string& metrics, const std::string& name)
    {
        const std::string label = "reason=\"" + name + "\"";
        std::vector<ReasonCount> counts;
        std::istringstream lines(metrics);
        for (std::string line; std::getline(lines, line);) {
            const std::size_t end = line.rfind(' ');
            if (line.starts_with('#') || line.find(label) == std::string::npos || end == std::string::npos)
                continue;
            counts.push_back({ .metric = line.substr(0, line.find('{')), .count = std::strtoull(line.c_str() + end, nullptr, 10) });
        }
        return counts;
    }

    /// Adds a daemon's data to an explanation: its counters of the reason, and the last failures of its children.
    CommandResult addDaemonData(const std::string& name, std::string text, json members, const asio::ip::tcp::endpoint& admin)
    {
        HttpError reason = HttpError::None;
        const auto metrics = queryDaemon(admin, "/metrics", queryTimeout, reason);
        const auto answers = queryDaemons({ { .name = "daemon", .role = {}, .dataCentre = {}, .admin = admin } }, queryTimeout);
        if (!metrics || !answers.front().status) {
            members["error"] = nameOf(metrics ? answers.front().error : reason);
            return makeResult(ExitCode::DaemonUnreachable, std::move(text), std::move(members));
        }
        const DaemonStatus& status = *answers.front().status;
        Table table({ "AT " + status.name, "" });
        members["counts"] = json::object();
        for (const ReasonCount& count : countsOf(*metrics, name)) {
            table.add({ count.metric, std::to_string(count.count) });
            members["counts"][count.metric] = count.count;
        }
        members["lastReasons"] = json::array();
        for (const DaemonChild& child : status.children) {
            if (child.lastReason.empty() || child.lastReason == "none")
                continue;
            table.add({ child.path, (child.isRunning ? "running, last reason " : "stopped, last reason ") + child.lastReason });
            members["lastReasons"].push_back({ { "path", child.path }, { "running", child.isRunning }, { "lastReason", child.lastReason } });
        }
        text += table.isEmpty() ? status.name + " has no count of this reason, and none of its components has failed\n" : table.text();
        return makeResult(ExitCode::Success, std::move(text), std::move(members));
    }

}

CommandResult explain(const std::string& code, const CtlOptions& options)
{
    const auto found = findExplanations(code);
    if (found.empty())
        return makeResult(ExitCode::NotExplained, code + "\n", { { "code", code } });
    std::string text;
    json list = json::array();
    for (const FoundExplanation& one : found) {
        text.append(one.name).append(" (").append(one.subject).append("): ").append(one.explanation.meaning).append("\n");
        text.append("  What to do: ").append(one.explanation.action).append("\n");
        list.push_back({ { "subject", one.subject }, { "name", one.name }, { "meaning", one.explanation.meaning }, { "action", one.explanation.action } });
    }
    json members { { "code", code }, { "explanations", list } };
    if (!options.daemon)
        return makeResult(ExitCode::Success, std::move(text), std::move(members));
    return addDaemonData(found.front().name, std::move(text), std::move(members), *options.daemon);
}

}
