#include "pendingrequests.h"

#include <algorithm>
#include <unordered_set>

namespace kingcuptrail {

namespace {

    struct ResetCandidate {
        WaitingReset waiting;
        Millis knownAt = 0;
    };

    PendingReportOutcome checkSender(const ReceivedReport& report, const ReportReceiver& receiver)
    {
        if (!report.sender || !mayHoldFlows(*report.sender))
            return PendingReportOutcome::ForeignSender;
        if (report.sender->dataCentre == receiver.dataCentre)
            return PendingReportOutcome::OwnDataCentre;
        return report.isFromLostDataCentre ? PendingReportOutcome::LostDataCentre : PendingReportOutcome::Recorded;
    }

    void recordServedCaller(PendingRequestTable& table, const PendingRequest& request, const Directory& directory, Millis now)
    {
        const PeerEntry* balancer = findByAddress(directory, request.balancer);
        // The last packet may have come from a neighbour of the agent that probed.
        if (!balancer || balancer->role != PeerRole::Balancer)
            return;
        const ServedCaller* known = table.callers.find(request.flow.caller.address);
        table.callers.store(request.flow.caller.address, { .dataCentre = balancer->dataCentre, .servedAt = now, .seenHereSince = known ? known->seenHereSince : std::nullopt, .seenHereAt = known ? known->seenHereAt : 0 });
    }

    PendingReportOutcome recordRequest(PendingRequestTable& table, const PendingRequest& request, const std::string& dataCentre, const ReportReceiver& receiver, Millis now)
    {
        const FlowRoute* route = findRoute(receiver.routes, request.flow.service);
        if (!route)
            return PendingReportOutcome::UnknownAddress;
        const Millis timeout = route->timeout > 0 ? route->timeout : table.options.defaultTimeout;
        const PendingRecord record { .dataCentre = dataCentre, .acknowledged = request.acknowledged, .recordedAt = now, .endsAt = now + timeout };
        table.dropped += table.records.store(request.flow, record) ? 1 : 0;
        recordServedCaller(table, request, receiver.directory, now);
        return PendingReportOutcome::Recorded;
    }

}

std::vector<PendingReportOutcome> recordReport(PendingRequestTable& table, const ReceivedReport& report, const ReportReceiver& receiver, Millis now)
{
    const PendingReportOutcome check = checkSender(report, receiver);
    std::vector<PendingReportOutcome> outcomes;
    for (const PendingRequest& request : report.requests)
        outcomes.push_back(check == PendingReportOutcome::Recorded ? recordRequest(table, request, report.sender->dataCentre, receiver, now) : check);
    return outcomes;
}

std::optional<std::string> servedBy(const PendingRequestTable& table, std::uint32_t callerAddress, Millis now)
{
    const ServedCaller* caller = table.callers.find(callerAddress);
    if (!caller || now - caller->servedAt > table.options.callerRetention)
        return std::nullopt;
    return caller->dataCentre;
}

std::optional<Millis> recordSeenHere(PendingRequestTable& table, std::uint32_t callerAddress, Millis now)
{
    ServedCaller* caller = table.callers.find(callerAddress);
    if (!caller)
        return std::nullopt;
    if (!caller->seenHereSince || now - caller->seenHereAt > table.options.callerRetention)
        caller->seenHereSince = now;
    caller->seenHereAt = now;
    return caller->seenHereSince;
}

LossExtent beginResets(PendingRequestTable& table, const std::string& dataCentre, std::span<const CachedFlow> cached, Millis now)
{
    std::vector<ResetCandidate> candidates;
    for (const auto& [flow, record] : table.records.entries()) {
        if (record.dataCentre == dataCentre && record.endsAt > now)
            candidates.push_back({ .waiting = { .reset = { .flow = flow, .acknowledged = record.acknowledged }, .dataCentre = dataCentre, .endsAt = record.endsAt }, .knownAt = record.recordedAt });
    }
    LossExtent extent { .records = candidates.size(), .cachedFlows = cached.size() };
    std::unordered_set<FlowKey> pending;
    for (const ResetCandidate& candidate : candidates)
        pending.insert(candidate.waiting.reset.flow);
    for (const CachedFlow& flow : cached)
        candidates.push_back({ .waiting = { .reset = flow.reset, .dataCentre = dataCentre, .endsAt = now + table.options.defaultTimeout }, .knownAt = flow.usedAt });
    table.records.removeIf([&dataCentre](const PendingRecord& record) { return record.dataCentre == dataCentre; });
    std::ranges::stable_sort(candidates, std::greater(), &ResetCandidate::knownAt);
    std::unordered_set<FlowKey> known;
    for (const WaitingReset& waiting : table.resets)
        known.insert(waiting.reset.flow);
    std::erase_if(candidates, [&known](const ResetCandidate& candidate) { return !known.insert(candidate.waiting.reset.flow).second; });
    // Callers of reported requests wait for an answer; most of the cached flows are idle.
    std::stable_partition(candidates.begin(), candidates.end(), [&pending](const ResetCandidate& candidate) { return pending.contains(candidate.waiting.reset.flow); });
    candidates.resize(std::min(candidates.size(), table.options.maxResets - std::min(table.options.maxResets, table.resets.size())));
    extent.resets = candidates.size();
    for (ResetCandidate& candidate : candidates)
        table.resets.push_back(std::move(candidate.waiting));
    return extent;
}

std::vector<FlowReset> takeResets(PendingRequestTable& table, Millis now)
{
    std::vector<FlowReset> resets;
    while (!table.resets.empty() && resets.size() < table.options.resetsPerTick) {
        const WaitingReset& next = table.resets.front();
        if (next.endsAt > now)
            resets.push_back(next.reset);
        table.resets.pop_front();
    }
    return resets;
}

void endResets(PendingRequestTable& table, const std::string& dataCentre)
{
    table.records.removeIf([&dataCentre](const PendingRecord& record) { return record.dataCentre == dataCentre; });
    std::erase_if(table.resets, [&dataCentre](const WaitingReset& waiting) { return waiting.dataCentre == dataCentre; });
}

void expirePendingRequests(PendingRequestTable& table, Millis now)
{
    table.records.removeIf([now](const PendingRecord& record) { return record.endsAt <= now; });
    table.callers.removeIf([&](const ServedCaller& caller) { return now - caller.servedAt > table.options.callerRetention; });
}

}
