#include "loglines.h"
#include "table.h"

#include <algorithm>
#include <map>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    constexpr std::size_t maxRows = 40;

    /// The time at which each process first logged one change, in milliseconds.
    using TimesByProcess = std::map<std::string, std::uint64_t>;

    /// How long one change took to reach the processes that logged it, in milliseconds after the first of them.
    struct Spread {
        std::string change;
        std::uint64_t begunAt = 0;
        std::size_t processes = 0;
        std::uint64_t half = 0;
        std::uint64_t nineTenths = 0;
        std::uint64_t all = 0;
    };

    /// What a line says has changed; lines of several processes with the same text are about one change. Empty for lines of
    /// other events.
    std::string changeOf(const std::string& event, const json& line)
    {
        if (event == "routesInForce")
            return "routes " + std::to_string(numberOf(line, "version"));
        if (event == "peerChanged")
            return "peer " + textOf(line, "peer") + " " + textOf(line, "state") + " " + std::to_string(numberOf(line, "epoch"));
        if (event == "dataCentreOut" || event == "dataCentreBack")
            return event + " " + textOf(line, "dataCentre") + " " + std::to_string(numberOf(line, "revision"));
        if (event == "dataCentreSilent" || event == "dataCentreLost")
            return event + " " + textOf(line, "dataCentre");
        return {};
    }

    Spread spreadOf(const std::string& change, const TimesByProcess& times)
    {
        std::vector<std::uint64_t> delays;
        delays.reserve(times.size());
        for (const auto& [process, time] : times)
            delays.push_back(time);
        const std::uint64_t begunAt = *std::ranges::min_element(delays);
        for (std::uint64_t& delay : delays)
            delay -= begunAt;
        return { .change = change, .begunAt = begunAt, .processes = delays.size(), .half = quantile(delays, 0.5), .nineTenths = quantile(delays, 0.9), .all = *std::ranges::max_element(delays) };
    }

}

CommandResult showSpread(const std::string&, const CtlOptions& options)
{
    std::map<std::string, TimesByProcess> changes;
    const auto failure = readLogs(options, [&](const std::string& text) {
        const json line = logObject(text);
        const std::string change = changeOf(textOf(line, "name"), line);
        const std::uint64_t time = numberOf(line, "time");
        if (change.empty() || time == 0)
            return;
        const auto [found, isNew] = changes[change].try_emplace(textOf(line, "process"), time);
        found->second = std::min(found->second, time);
    });
    if (failure)
        return *failure;
    std::vector<Spread> spreads;
    spreads.reserve(changes.size());
    for (const auto& [change, times] : changes)
        spreads.push_back(spreadOf(change, times));
    std::ranges::stable_sort(spreads, std::greater(), &Spread::all);
    Table table({ "CHANGE", "PROCESSES", "HALF", "NINE TENTHS", "ALL" });
    json list = json::array();
    for (const Spread& spread : spreads) {
        if (list.size() < maxRows)
            table.add({ spread.change, std::to_string(spread.processes), std::to_string(spread.half), std::to_string(spread.nineTenths), std::to_string(spread.all) });
        list.push_back({ { "change", spread.change }, { "begunAt", spread.begunAt }, { "processes", spread.processes }, { "half", spread.half }, { "nineTenths", spread.nineTenths }, { "all", spread.all } });
    }
    return makeResult(ExitCode::Success, table.text(), { { "changes", list } });
}

}
