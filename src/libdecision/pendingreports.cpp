#include "pendingreports.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    const AgentFlow* findPending(const AgentFlows& flows, const FlowKey& key)
    {
        const auto found = flows.flows.find(key);
        const bool isPending = found != flows.flows.end() && found->second.phase == FlowPhase::Open && found->second.hasRequest;
        return isPending ? &found->second : nullptr;
    }

    void refillBudget(PendingReports& reports, Millis now)
    {
        constexpr double millisPerSecond = 1000;
        const double earned = static_cast<double>(now - reports.budgetAt) * reports.options.bytesPerSecond / millisPerSecond;
        reports.budgetBytes = std::min(reports.budgetBytes + earned, reports.options.burstBytes);
        reports.budgetAt = now;
    }

}

void recordRequestBegan(PendingReports& reports, const FlowKey& flow, Millis now)
{
    // An earlier request of the flow that still waits has been answered, since a flow has one request at a time.
    std::erase_if(reports.waiting, [&flow](const PendingReports::Waiting& request) { return request.flow == flow; });
    if (reports.waiting.size() >= reports.options.maxWaiting) {
        ++reports.leftOut;
        return;
    }
    reports.waiting.push_back({ .flow = flow, .beganAt = now });
}

std::vector<PendingRequest> takeReport(PendingReports& reports, const AgentFlows& flows, Millis now)
{
    std::erase_if(reports.waiting, [&flows](const PendingReports::Waiting& request) { return !findPending(flows, request.flow); });
    std::vector<PendingRequest> report;
    if (reports.reportedAt && now - *reports.reportedAt < reports.options.interval)
        return report;
    refillBudget(reports, now);
    while (!reports.waiting.empty() && report.size() < maxPendingRequestsPerMessage && reports.budgetBytes >= reports.options.requestBytes) {
        const PendingReports::Waiting& oldest = reports.waiting.front();
        if (now - oldest.beganAt < reports.options.minAge)
            break;
        const AgentFlow* flow = findPending(flows, oldest.flow);
        report.push_back({ .flow = oldest.flow, .balancer = flow->balancer, .acknowledged = flow->callerAcknowledged });
        reports.waiting.pop_front();
        reports.budgetBytes -= reports.options.requestBytes;
    }
    if (!report.empty())
        reports.reportedAt = now;
    return report;
}

std::optional<std::uint32_t> nextReceiver(PendingReports& reports, std::span<const std::uint32_t> balancers)
{
    if (balancers.empty())
        return std::nullopt;
    return balancers[reports.receivers++ % balancers.size()];
}

}
