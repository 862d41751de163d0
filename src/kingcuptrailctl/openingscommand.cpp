#include "loglines.h"
#include "table.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    /// Counts of flow openings in an interval, from the logs.
    struct OpeningSpan {
        std::uint64_t offers = 0;
        std::uint64_t refusals = 0;
        std::map<std::string, std::uint64_t> refusalsByReason;
        /// Waiting times of admitted openings at their agents, in milliseconds.
        std::vector<std::uint64_t> waits;
        /// Times until the loss of a flow was detected, in milliseconds.
        std::vector<std::uint64_t> lostAfter;
        std::uint64_t uncertainSearches = 0;
        std::uint64_t linesLeftOut = 0;
    };

    void recordLine(OpeningSpan& span, const std::string& event, const json& line)
    {
        if (event == "flowOffered") {
            ++span.offers;
        } else if (event == "openingRefused") {
            ++span.refusals;
            ++span.refusalsByReason[textOf(line, "reason")];
        } else if (event == "flowAdmitted") {
            span.waits.push_back(numberOf(line, "waited"));
        } else if (event == "flowLost") {
            span.lostAfter.push_back(numberOf(line, "milliseconds"));
        } else if (event == "searchUncertain") {
            ++span.uncertainSearches;
        } else if (event == "linesLeftOut") {
            span.linesLeftOut += numberOf(line, "lines");
        }
    }

    std::string mostFrequent(const std::map<std::string, std::uint64_t>& counts)
    {
        const auto most = std::ranges::max_element(counts, {}, [](const auto& item) { return item.second; });
        return most == counts.end() ? "" : most->first + " " + std::to_string(most->second);
    }

    json toJson(std::uint64_t from, const OpeningSpan& span)
    {
        return {
            { "from", from },
            { "offers", span.offers },
            { "refusals", span.refusalsByReason },
            { "admitted", span.waits.size() },
            { "waitedMedian", quantile(span.waits, 0.5) },
            { "waited90", quantile(span.waits, 0.9) },
            { "flowsLost", span.lostAfter.size() },
            { "lostAfterMedian", quantile(span.lostAfter, 0.5) },
            { "uncertainSearches", span.uncertainSearches },
            { "linesLeftOut", span.linesLeftOut },
        };
    }

}

CommandResult showOpenings(const std::string& argument, const CtlOptions& options)
{
    std::uint64_t length = 0;
    const auto [end, error] = std::from_chars(argument.data(), argument.data() + argument.size(), length);
    if (error != std::errc() || end != argument.data() + argument.size() || length == 0)
        return makeResult(ExitCode::Usage, "SPAN must be a whole number of milliseconds greater than 0\n", { { "span", argument } });
    std::map<std::uint64_t, OpeningSpan> spans;
    const auto failure = readLogs(options, [&](const std::string& text) {
        const json line = logObject(text);
        if (const std::uint64_t time = numberOf(line, "time"); time > 0)
            recordLine(spans[time / length * length], textOf(line, "name"), line);
    });
    if (failure)
        return *failure;
    Table table({ "AFTER MS", "OFFERS", "REFUSED", "MOST OFTEN", "ADMITTED", "WAITED 50%", "WAITED 90%", "FLOWS LOST", "KNOWN AFTER", "UNCERTAIN", "LINES LEFT OUT" });
    json list = json::array();
    for (const auto& [from, span] : spans) {
        table.add({ std::to_string(from - spans.begin()->first), std::to_string(span.offers), std::to_string(span.refusals), mostFrequent(span.refusalsByReason), std::to_string(span.waits.size()), std::to_string(quantile(span.waits, 0.5)), std::to_string(quantile(span.waits, 0.9)), std::to_string(span.lostAfter.size()), std::to_string(quantile(span.lostAfter, 0.5)), std::to_string(span.uncertainSearches), std::to_string(span.linesLeftOut) });
        list.push_back(toJson(from, span));
    }
    return makeResult(ExitCode::Success, table.text(), { { "spans", list } });
}

}
