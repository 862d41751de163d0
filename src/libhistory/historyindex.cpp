#include "historyindex.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    using Spans = std::vector<HistorySpan>;

    bool isOpen(const HistorySpan& span)
    {
        return span.until == endOfTime;
    }

    void closeSpans(Spans& spans, Millis at)
    {
        for (HistorySpan& span : spans) {
            if (isOpen(span))
                span.until = at;
        }
    }

    bool anyOverlap(const Spans& spans, Millis start, Millis end)
    {
        return std::ranges::any_of(spans, [&](const HistorySpan& span) { return span.overlaps(start, end); });
    }

    template <typename Map>
    bool anyOverlap(const Map& map, const std::string& name, Millis start, Millis end)
    {
        const auto found = map.find(name);
        return found != map.end() && anyOverlap(found->second, start, end);
    }

    /// Whether an event of kind `ended` ends a failure of kind `began`. Continuing a process ends its freeze, and the end
    /// of a fault ends that fault; the next start of the process ends a kill, a freeze or a shutdown.
    bool endsWith(HistoryKind began, HistoryKind ended)
    {
        switch (ended) {
        case HistoryKind::ProcessContinued:
            return began == HistoryKind::ProcessFrozen;
        case HistoryKind::FaultEnded:
            return began == HistoryKind::FaultBegan;
        default:
            return began == HistoryKind::ProcessKilled || began == HistoryKind::ProcessFrozen || began == HistoryKind::ShutdownBegan;
        }
    }

    void closeMatching(Spans& spans, const HistoryEvent& event)
    {
        for (HistorySpan& span : spans) {
            const bool isSame = processOf(*span.began) == processOf(event);
            if (isOpen(span) && isSame && endsWith(span.began->kind, event.kind))
                span.until = event.at;
        }
    }

    /// The call that an outcome belongs to: the latest call of the same caller, key and call number that has no outcome yet.
    CallRecord* findOpenCall(std::vector<CallRecord>& calls, const HistoryEvent& event)
    {
        const auto found = std::find_if(calls.rbegin(), calls.rend(), [&](const CallRecord& call) {
            return !call.outcome && call.sent->who == event.who && call.sent->call == event.call;
        });
        return found == calls.rend() ? nullptr : &*found;
    }

}

const std::string& processOf(const HistoryEvent& event)
{
    return event.process.empty() ? event.who : event.process;
}

HistoryIndex::HistoryIndex(const std::vector<HistoryEvent>& events, Millis failureNotice)
    : notice(failureNotice)
{
    indexUpstreamNames(events);
    for (const HistoryEvent& event : events)
        add(event);
    if (!events.empty())
        end = events.back().at;
}

void HistoryIndex::indexUpstreamNames(const std::vector<HistoryEvent>& events)
{
    for (const HistoryEvent& event : events) {
        if (event.upstreamId != 0 && !event.upstream.empty())
            m_upstreamNames[event.upstreamId] = event.upstream;
    }
}

std::string HistoryIndex::upstreamOf(const HistoryEvent& event) const
{
    if (!event.upstream.empty())
        return event.upstream;
    const auto found = m_upstreamNames.find(event.upstreamId);
    return found == m_upstreamNames.end() ? "" : found->second;
}

void HistoryIndex::add(const HistoryEvent& event)
{
    switch (event.kind) {
    case HistoryKind::RequestSent:
    case HistoryKind::AnswerWhole:
    case HistoryKind::AnswerBroken:
    case HistoryKind::RefusedNotRun:
    case HistoryKind::RefusedRan:
    case HistoryKind::RefusedUnknown:
    case HistoryKind::CallGaveUp:
        addCallEvent(event);
        break;
    case HistoryKind::FlowOpened:
    case HistoryKind::FlowBroken:
    case HistoryKind::FlowGivenUp:
    case HistoryKind::FlowClosed:
        addFlowEvent(event);
        break;
    case HistoryKind::UpstreamStarted:
    case HistoryKind::UpstreamWorkBegan:
    case HistoryKind::UpstreamWorkEnded:
        addUpstreamEvent(event);
        break;
    case HistoryKind::OperatorApplied:
        accepted.push_back(&event);
        break;
    case HistoryKind::OperatorTookOut:
        outages[event.dataCentre].push_back({ .began = &event });
        if (const auto request = pendingOutageRequests.find(event.dataCentre); request != pendingOutageRequests.end()) {
            requestedOutages[event.dataCentre].push_back({ .began = request->second });
            pendingOutageRequests.erase(request);
        }
        accepted.push_back(&event);
        break;
    case HistoryKind::OperatorBeganTakeOut:
        pendingOutageRequests[event.dataCentre] = &event;
        break;
    case HistoryKind::OperatorBroughtBack:
        closeSpans(outages[event.dataCentre], event.at);
        closeSpans(requestedOutages[event.dataCentre], event.at);
        accepted.push_back(&event);
        break;
    default:
        addProcessEvent(event);
        break;
    }
}

void HistoryIndex::addCallEvent(const HistoryEvent& event)
{
    auto& calls = callsByKey[event.key];
    if (event.kind == HistoryKind::RequestSent) {
        calls.push_back({ .sent = &event });
        return;
    }
    if (CallRecord* call = findOpenCall(calls, event))
        call->outcome = &event;
}

void HistoryIndex::addFlowEvent(const HistoryEvent& event)
{
    FlowRecord& flow = flows[event.flow];
    if (event.kind != HistoryKind::FlowOpened) {
        flow.ended = &event;
        return;
    }
    flow.opened = &event;
    flow.upstream = upstreamOf(event);
}

void HistoryIndex::addUpstreamEvent(const HistoryEvent& event)
{
    const std::string name = upstreamOf(event);
    if (event.kind == HistoryKind::UpstreamStarted) {
        const bool isRestart = serviceOfUpstream.contains(name);
        serviceOfUpstream[name] = event.service;
        dataCentreOfUpstream[name] = event.dataCentre;
        // The restarted upstream has lost its flows and requests, whatever the reason of the restart.
        if (isRestart)
            failures[name].push_back({ .began = &event, .until = event.at });
        return;
    }
    auto& works = worksByKey[event.key];
    if (event.kind == HistoryKind::UpstreamWorkBegan) {
        works.push_back({ .began = &event });
        return;
    }
    const auto found = std::ranges::find_if(works, [&](const WorkRecord& work) { return !work.ended && upstreamOf(*work.began) == name; });
    if (found != works.end())
        found->ended = &event;
}

void HistoryIndex::addProcessEvent(const HistoryEvent& event)
{
    switch (event.kind) {
    case HistoryKind::ConfigInForce:
        daemons[processOf(event)].configs.push_back(&event);
        break;
    case HistoryKind::DrainBegan:
        drains[upstreamOf(event)].push_back({ .began = &event });
        break;
    case HistoryKind::ShutdownBegan:
        shutdowns.push_back(&event);
        daemons[processOf(event)].absences.push_back({ .began = &event });
        break;
    case HistoryKind::ProcessStarted:
        if (event.role == ProcessRole::Balancer || event.role == ProcessRole::Agent)
            daemons[processOf(event)].starts.push_back(&event);
        if (!upstreamOf(event).empty() && !event.dataCentre.empty())
            dataCentreOfUpstream[upstreamOf(event)] = event.dataCentre;
        closeSpans(drains[upstreamOf(event)], event.at);
        endFailure(event);
        break;
    case HistoryKind::ProcessKilled:
    case HistoryKind::ProcessFrozen:
    case HistoryKind::FaultBegan:
        beginFailure(event);
        break;
    case HistoryKind::ProcessContinued:
    case HistoryKind::FaultEnded:
        endFailure(event);
        break;
    default:
        break;
    }
}

void HistoryIndex::beginFailure(const HistoryEvent& event)
{
    const HistorySpan span { .began = &event };
    allFailures.push_back(span);
    if (event.role == ProcessRole::Platform)
        platformFaults.push_back(span);
    if (const std::string name = upstreamOf(event); !name.empty()) {
        failures[name].push_back(span);
        if (event.kind == HistoryKind::FaultBegan)
            upstreamFaults[name].push_back(span);
    }
    if (const auto daemon = daemons.find(processOf(event)); daemon != daemons.end())
        daemon->second.absences.push_back(span);
}

void HistoryIndex::endFailure(const HistoryEvent& event)
{
    closeMatching(allFailures, event);
    closeMatching(platformFaults, event);
    closeMatching(failures[upstreamOf(event)], event);
    if (const auto daemon = daemons.find(processOf(event)); daemon != daemons.end())
        closeMatching(daemon->second.absences, event);
}

bool HistoryIndex::isExplainedByFailure(const std::string& upstream, Millis start, Millis until) const
{
    start = std::max(start, until - notice);
    if (anyOverlap(failures, upstream, start, until))
        return true;
    const auto dataCentre = dataCentreOfUpstream.find(upstream);
    if (dataCentre == dataCentreOfUpstream.end())
        return false;
    return anyOverlap(outages, dataCentre->second, start, until) || anyOverlap(requestedOutages, dataCentre->second, start, until);
}

bool HistoryIndex::hasFailure(Millis start, Millis until) const
{
    return anyOverlap(allFailures, std::max(start, until - notice), until);
}

bool HistoryIndex::isIdempotent(const std::string& key) const
{
    if (const auto calls = callsByKey.find(key); calls != callsByKey.end() && !calls->second.empty())
        return std::ranges::all_of(calls->second, [](const CallRecord& call) { return call.sent->idempotent; });
    const auto works = worksByKey.find(key);
    return works == worksByKey.end() || std::ranges::all_of(works->second, [](const WorkRecord& work) { return work.began->idempotent; });
}

}
