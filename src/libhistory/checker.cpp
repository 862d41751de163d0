#include "checker.h"

#include "checks.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    std::uint64_t countKind(const std::vector<HistoryEvent>& events, HistoryKind kind)
    {
        return static_cast<std::uint64_t>(std::ranges::count(events, kind, &HistoryEvent::kind));
    }

    std::uint64_t countViolations(const std::vector<Violation>& violations, Promise promise)
    {
        return static_cast<std::uint64_t>(std::ranges::count(violations, promise, &Violation::promise));
    }

    double imbalanceOf(const HistoryIndex& index)
    {
        std::map<std::string, std::map<std::string, double>> flowsByService;
        for (const auto& [upstream, service] : index.serviceOfUpstream)
            flowsByService[service][upstream] = 0;
        for (const auto& [id, flow] : index.flows) {
            const auto service = index.serviceOfUpstream.find(flow.upstream);
            if (flow.opened && service != index.serviceOfUpstream.end())
                ++flowsByService[service->second][flow.upstream];
        }
        double worst = 0;
        for (const auto& [service, flows] : flowsByService) {
            double sum = 0;
            double largest = 0;
            for (const auto& [upstream, count] : flows) {
                sum += count;
                largest = std::max(largest, count);
            }
            if (sum > 0)
                worst = std::max(worst, largest * static_cast<double>(flows.size()) / sum);
        }
        return worst;
    }

    HistorySummary summarise(const std::vector<HistoryEvent>& events, const HistoryIndex& index, const std::vector<Violation>& violations)
    {
        return {
            .flows = countKind(events, HistoryKind::FlowOpened),
            .broken = countKind(events, HistoryKind::FlowBroken),
            .givenUp = countKind(events, HistoryKind::FlowGivenUp),
            .requests = countKind(events, HistoryKind::RequestSent),
            .answeredWhole = countKind(events, HistoryKind::AnswerWhole),
            .refusedNotRun = countKind(events, HistoryKind::RefusedNotRun),
            .outcomeUnknown = countKind(events, HistoryKind::RefusedUnknown),
            .doubleRuns = countViolations(violations, Promise::AtMostOnce),
            .misrouted = countViolations(violations, Promise::NoMisrouting),
            .imbalance = imbalanceOf(index),
        };
    }

}

void CheckContext::report(Promise promise, std::string text, std::initializer_list<const HistoryEvent*> evidence) const
{
    Violation violation { .promise = promise, .text = std::move(text) };
    for (const HistoryEvent* event : evidence) {
        if (event)
            violation.events.push_back(*event);
    }
    std::ranges::stable_sort(violation.events, {}, &HistoryEvent::at);
    violations.push_back(std::move(violation));
}

CheckResult checkHistory(const std::vector<HistoryEvent>& events, const CheckOptions& options)
{
    const HistoryIndex index(events, options.notice);
    CheckResult result;
    const CheckContext context { .events = events, .index = index, .options = options, .violations = result.violations };
    for (const auto check : { checkFlows, checkRouting, checkColdStarts, checkOutages, checkAnswers, checkRefusals, checkSingleRuns, checkDrains, checkShutdowns, checkConfigs })
        check(context);
    result.summary = summarise(events, index, result.violations);
    return result;
}

std::string toJson(const HistorySummary& summary)
{
    const nlohmann::ordered_json document {
        { "flows", summary.flows },
        { "broken", summary.broken },
        { "givenUp", summary.givenUp },
        { "requests", summary.requests },
        { "answeredWhole", summary.answeredWhole },
        { "refusedNotRun", summary.refusedNotRun },
        { "outcomeUnknown", summary.outcomeUnknown },
        { "doubleRuns", summary.doubleRuns },
        { "misrouted", summary.misrouted },
        { "imbalance", summary.imbalance },
    };
    return document.dump();
}

}
