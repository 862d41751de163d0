#include "report.h"

#include "svgplot.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    using Json = nlohmann::ordered_json;

    constexpr double millisPerSecond = 1000;

    template <typename Enum>
    Json countsToJson(const EnumCounts<Enum>& counts)
    {
        Json json = Json::object();
        for (std::size_t index = 0; index < counts.size(); ++index) {
            if (counts[index] > 0)
                json[std::string(EnumNames<Enum>::names[index])] = counts[index];
        }
        return json;
    }

    Json samplesToJson(const Samples& samples)
    {
        return {
            { "count", samples.count() },
            { "mean", samples.mean() },
            { "p50", samples.percentile(0.5) },
            { "p90", samples.percentile(0.9) },
            { "p99", samples.percentile(0.99) },
            { "max", samples.max() },
        };
    }

    Json secondsToJson(const std::vector<SecondMetrics>& seconds)
    {
        Json rows = Json::array();
        for (const SecondMetrics& second : seconds) {
            rows.push_back({
                { "offered", second.offered },
                { "answered", second.answered },
                { "refused", second.refused },
                { "unknown", second.unknown },
                { "flowsBroken", second.flowsBroken },
                { "capacity", second.capacity },
                { "flowImbalance", second.flowImbalance },
            });
        }
        return rows;
    }

    double ratio(double part, double whole)
    {
        return whole > 0 ? part / whole : 0;
    }

    std::uint64_t requestsEndedAs(const Metrics& metrics, RequestEnd end)
    {
        return metrics.ended[static_cast<std::size_t>(end)];
    }

    std::uint64_t flowsBrokenBy(const Metrics& metrics, BreakCause cause)
    {
        return metrics.broken[static_cast<std::size_t>(cause)];
    }

    double controlPerDaemon(const ExperimentSpec& experiment, const Metrics& metrics)
    {
        const auto daemons = static_cast<double>(experiment.deployment.balancers + targetCount(experiment.deployment));
        return static_cast<double>(metrics.controlBytes) / daemons / (static_cast<double>(experiment.duration) / millisPerSecond);
    }

    double hopsPerPacket(const Metrics& metrics)
    {
        return ratio(static_cast<double>(metrics.hops), static_cast<double>(metrics.packets));
    }

    double retryRatio(const Metrics& metrics)
    {
        return ratio(static_cast<double>(metrics.retries), static_cast<double>(metrics.firstTries));
    }

    /// The minimum, over all windows of ten seconds, of the answered requests as a fraction of those that could be answered.
    /// In each second that is the smaller of the offered requests and the capacity of the targets in service.
    double minServiceLevel(const ExperimentSpec& experiment, const Metrics& metrics)
    {
        constexpr std::size_t window = 10;
        const std::size_t seconds = std::min(metrics.seconds.size(), static_cast<std::size_t>(experiment.duration) / 1000);
        double least = 1;
        for (std::size_t begin = 0; begin + window <= seconds; ++begin) {
            double answered = 0;
            double possible = 0;
            for (std::size_t index = begin; index < begin + window; ++index) {
                const SecondMetrics& second = metrics.seconds[index];
                answered += static_cast<double>(second.answered);
                possible += std::min(static_cast<double>(second.offered), second.capacity);
            }
            least = std::min(least, ratio(answered, possible));
        }
        return least;
    }

    double goodputOfCapacity(const ExperimentSpec& experiment, const Metrics& metrics)
    {
        const std::size_t seconds = std::min(metrics.seconds.size(), static_cast<std::size_t>(experiment.duration) / 1000);
        double answered = 0;
        double capacity = 0;
        for (std::size_t index = 0; index < seconds; ++index) {
            answered += static_cast<double>(metrics.seconds[index].answered);
            capacity += metrics.seconds[index].capacity;
        }
        return ratio(answered, capacity);
    }

    Json resultToJson(const ExperimentSpec& experiment, const PolicyResult& result)
    {
        const Metrics& metrics = result.metrics;
        return {
            { "policy", nameOf(result.policy) },
            { "brokenFlows", countsToJson<BreakCause>(metrics.broken) },
            { "requests", countsToJson<RequestEnd>(metrics.ended) },
            { "unknownBy", countsToJson<BreakCause>(metrics.unknownBy) },
            { "refusals", countsToJson<RefusalReason>(metrics.refusals) },
            { "retryDecisions", countsToJson<RetryReason>(metrics.retryDecisions) },
            { "doubled", metrics.duplicateRuns },
            { "firstTries", metrics.firstTries },
            { "retries", metrics.retries },
            { "retriesPerFirstTry", retryRatio(metrics) },
            { "flowsOpened", metrics.flowsOpened },
            { "duplicateOpens", metrics.duplicateOpens },
            { "hopsPerPacket", hopsPerPacket(metrics) },
            { "redirectsNoted", metrics.redirectsNoted },
            { "redirectsUsed", metrics.redirectsUsed },
            { "controlBytesPerDaemonAndSecond", controlPerDaemon(experiment, metrics) },
            { "platformCalls", metrics.platformCalls },
            { "coldOverruns", metrics.coldOverruns },
            { "coldExcess", metrics.coldExcess },
            { "suddenColdOverruns", metrics.suddenColdOverruns },
            { "upstreamFalls", metrics.overloadCrashes },
            { "flowsMoved", metrics.flowsMoved },
            { "goodputOfCapacity", goodputOfCapacity(experiment, metrics) },
            { "leastServiceIn10s", minServiceLevel(experiment, metrics) },
            { "answerLatencyMs", samplesToJson(metrics.answerLatency) },
            { "refusalLatencyMs", samplesToJson(metrics.refusalLatency) },
            { "flowImbalance", samplesToJson(metrics.flowImbalance) },
            { "flowVariation", samplesToJson(metrics.flowVariation) },
            { "busyImbalance", samplesToJson(metrics.busyImbalance) },
            { "busyVariation", samplesToJson(metrics.busyVariation) },
            { "returnTimeMs", samplesToJson(metrics.returnTime) },
            { "seconds", secondsToJson(metrics.seconds) },
        };
    }

    std::string format(double value)
    {
        std::array<char, 32> text {};
        const bool isWhole = value == static_cast<double>(static_cast<std::int64_t>(value));
        std::snprintf(text.data(), text.size(), isWhole ? "%.0f" : "%.3f", value);
        return text.data();
    }

    using RowValue = std::function<double(const Metrics&)>;

    struct Row {
        std::string name;
        RowValue evaluate;
    };

    std::vector<Row> tableRows(const ExperimentSpec& experiment)
    {
        std::vector<Row> rows;
        for (std::size_t index = 0; index < EnumNames<BreakCause>::names.size(); ++index) {
            rows.push_back({ "broken flows: " + std::string(EnumNames<BreakCause>::names[index]),
                [index](const Metrics& metrics) { return static_cast<double>(flowsBrokenBy(metrics, static_cast<BreakCause>(index))); } });
        }
        for (std::size_t index = 0; index < EnumNames<RequestEnd>::names.size(); ++index) {
            rows.push_back({ "requests: " + std::string(EnumNames<RequestEnd>::names[index]),
                [index](const Metrics& metrics) { return static_cast<double>(requestsEndedAs(metrics, static_cast<RequestEnd>(index))); } });
        }
        const std::vector<Row> others {
            { "unknown, data centre not out", [](const Metrics& metrics) { return static_cast<double>(requestsEndedAs(metrics, RequestEnd::Unknown) - metrics.unknownBy[static_cast<std::size_t>(BreakCause::DataCentreOut)]); } },
            { "doubled", [](const Metrics& metrics) { return static_cast<double>(metrics.duplicateRuns); } },
            { "retries per first try", retryRatio },
            { "goodput of capacity", [&experiment](const Metrics& metrics) { return goodputOfCapacity(experiment, metrics); } },
            { "least service in 10 s", [&experiment](const Metrics& metrics) { return minServiceLevel(experiment, metrics); } },
            { "answer p50, ms", [](const Metrics& metrics) { return metrics.answerLatency.percentile(0.5); } },
            { "answer p99, ms", [](const Metrics& metrics) { return metrics.answerLatency.percentile(0.99); } },
            { "refusal p50, ms", [](const Metrics& metrics) { return metrics.refusalLatency.percentile(0.5); } },
            { "refusal p99, ms", [](const Metrics& metrics) { return metrics.refusalLatency.percentile(0.99); } },
            { "flows max/mean, mean", [](const Metrics& metrics) { return metrics.flowImbalance.mean(); } },
            { "flows max/mean, p90", [](const Metrics& metrics) { return metrics.flowImbalance.percentile(0.9); } },
            { "flows variation", [](const Metrics& metrics) { return metrics.flowVariation.mean(); } },
            { "busy max/mean", [](const Metrics& metrics) { return metrics.busyImbalance.max(); } },
            { "busy variation", [](const Metrics& metrics) { return metrics.busyVariation.max(); } },
            { "returned to share", [](const Metrics& metrics) { return static_cast<double>(metrics.returnTime.count()); } },
            { "return to share, s, max", [](const Metrics& metrics) { return metrics.returnTime.max() / millisPerSecond; } },
            { "cold overruns", [](const Metrics& metrics) { return static_cast<double>(metrics.coldOverruns); } },
            { "sudden cold overruns", [](const Metrics& metrics) { return static_cast<double>(metrics.suddenColdOverruns); } },
            { "upstreams fell over", [](const Metrics& metrics) { return static_cast<double>(metrics.overloadCrashes); } },
            { "flows moved by a leaver", [](const Metrics& metrics) { return static_cast<double>(metrics.flowsMoved); } },
            { "hops per packet", hopsPerPacket },
            { "duplicate opens", [](const Metrics& metrics) { return static_cast<double>(metrics.duplicateOpens); } },
            { "redirects used", [](const Metrics& metrics) { return static_cast<double>(metrics.redirectsUsed); } },
            { "control bytes/daemon/s", [&experiment](const Metrics& metrics) { return controlPerDaemon(experiment, metrics); } },
        };
        rows.insert(rows.end(), others.begin(), others.end());
        return rows;
    }

    void appendCell(std::string& line, const std::string& text, std::size_t width)
    {
        line.append(width > text.size() ? width - text.size() : 0, ' ').append(text);
    }

    constexpr std::size_t nameWidth = 28;
    constexpr std::size_t cellWidth = 14;

}

std::string toJson(const ExperimentSpec& experiment, const std::vector<PolicyResult>& results)
{
    Json json { { "experiment", experiment.name }, { "seed", experiment.seed }, { "durationMs", experiment.duration } };
    json["results"] = Json::array();
    for (const PolicyResult& result : results)
        json["results"].push_back(resultToJson(experiment, result));
    return json.dump(2) + "\n";
}

std::string toTable(const ExperimentSpec& experiment, const std::vector<PolicyResult>& results)
{
    std::string table = experiment.name + ", seed " + std::to_string(experiment.seed) + "\n";
    table.append(nameWidth, ' ');
    for (const PolicyResult& result : results)
        appendCell(table, std::string(nameOf(result.policy)), cellWidth);
    table += '\n';
    for (const Row& row : tableRows(experiment)) {
        std::string line = row.name;
        line.resize(nameWidth, ' ');
        for (const PolicyResult& result : results)
            appendCell(line, format(row.evaluate(result.metrics)), cellWidth);
        table += line + '\n';
    }
    return table;
}

std::string toPlot(const ExperimentSpec& experiment, const std::vector<PolicyResult>& results)
{
    const auto seconds = static_cast<std::size_t>(experiment.duration) / 1000;
    SvgPlot plot { .title = experiment.name, .xLabel = "second", .yLabel = "requests answered in a second" };
    for (const PolicyResult& result : results) {
        PlotLine line { .name = std::string(nameOf(result.policy)) };
        for (std::size_t index = 0; index < std::min(seconds, result.metrics.seconds.size()); ++index)
            line.values.push_back(static_cast<double>(result.metrics.seconds[index].answered));
        plot.lines.push_back(std::move(line));
    }
    return renderSvg(plot);
}

}
