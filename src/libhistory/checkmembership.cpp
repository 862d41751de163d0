#include "checks.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// The span of `name` that contains the time `at` and began more than `settle` before it.
    const HistorySpan* findSettledSpan(const std::map<std::string, std::vector<HistorySpan>>& spans, const std::string& name, Millis at, Millis settle)
    {
        const auto found = spans.find(name);
        if (found == spans.end())
            return nullptr;
        for (const HistorySpan& span : found->second) {
            if (at > span.from() + settle && at < span.until)
                return &span;
        }
        return nullptr;
    }

    /// The time from which daemons can learn of an outage. A change that is accepted just before the platform goes down
    /// reaches no daemon until the platform is back.
    Millis outageKnownFrom(const HistoryIndex& index, const HistorySpan& outage, Millis settle)
    {
        Millis from = outage.from();
        for (const HistorySpan& fault : index.platformFaults) {
            if (fault.overlaps(from, from + settle))
                from = std::max(from, fault.until);
        }
        return from;
    }

    bool reachesUpstream(const HistoryEvent& event)
    {
        return event.kind == HistoryKind::UpstreamWorkBegan || event.kind == HistoryKind::UpstreamPacket;
    }

    /// Whether a call with this key was already under way when the drain began, so that its work is not new.
    bool wasSentBefore(const HistoryIndex& index, const std::string& key, Millis at)
    {
        const auto calls = index.callsByKey.find(key);
        if (calls == index.callsByKey.end())
            return false;
        return std::ranges::any_of(calls->second, [at](const CallRecord& call) {
            return call.sent->at < at && (!call.outcome || call.outcome->at >= at);
        });
    }

}

void checkFlows(const CheckContext& context)
{
    for (const auto& [id, flow] : context.index.flows) {
        if (!flow.opened || !flow.ended || flow.ended->kind == HistoryKind::FlowClosed)
            continue;
        if (!context.index.isExplainedByFailure(flow.upstream, flow.opened->at, flow.ended->at))
            context.report(Promise::FlowSurvives, "flow " + std::to_string(id) + " ended, but its upstream had not failed and its data centre was not out of service", { flow.opened, flow.ended });
    }
}

void checkOutages(const CheckContext& context)
{
    for (const HistoryEvent& event : context.events) {
        if (!reachesUpstream(event))
            continue;
        const HistorySpan* span = findSettledSpan(context.index.outages, event.dataCentre, event.at, context.options.settle);
        if (span && event.at > outageKnownFrom(context.index, *span, context.options.settle) + context.options.settle)
            context.report(Promise::OutSilent, "data centre " + event.dataCentre + " got a packet while it was out of service", { span->began, &event });
    }
}

void checkDrains(const CheckContext& context)
{
    for (const HistoryEvent& event : context.events) {
        if (event.kind != HistoryKind::FlowOpened && event.kind != HistoryKind::UpstreamWorkBegan)
            continue;
        const std::string upstream = context.index.upstreamOf(event);
        const HistorySpan* span = findSettledSpan(context.index.drains, upstream, event.at, context.options.settle);
        if (!span)
            continue;
        const bool isOldWork = event.kind == HistoryKind::UpstreamWorkBegan && wasSentBefore(context.index, event.key, span->from());
        if (!isOldWork)
            context.report(Promise::LeaverNoNewWork, "draining upstream " + upstream + " got new work", { span->began, &event });
    }
}

}
