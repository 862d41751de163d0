#include "checks.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// The first request with this key as its caller recorded it, which names the requested service.
    const HistoryEvent* requestOf(const HistoryIndex& index, const std::string& key)
    {
        const auto calls = index.callsByKey.find(key);
        return calls == index.callsByKey.end() || calls->second.empty() ? nullptr : calls->second.front().sent;
    }

    void checkPacketService(const CheckContext& context, const HistoryEvent& event)
    {
        const auto own = context.index.serviceOfUpstream.find(context.index.upstreamOf(event));
        if (own != context.index.serviceOfUpstream.end() && own->second != event.service)
            context.report(Promise::NoMisrouting, "a packet for " + event.service + " reached an upstream of " + own->second, { &event });
    }

    void checkWorkService(const CheckContext& context, const HistoryEvent& event)
    {
        const HistoryEvent* request = requestOf(context.index, event.key);
        if (request && !request->service.empty() && request->service != event.service)
            context.report(Promise::NoMisrouting, "work for " + request->service + " began at an upstream of " + event.service, { request, &event });
    }

    bool isBeforeColdDetection(const CheckContext& context, const HistoryEvent& event)
    {
        const auto faults = context.index.upstreamFaults.find(context.index.upstreamOf(event));
        if (faults == context.index.upstreamFaults.end())
            return false;
        return std::ranges::any_of(faults->second, [&](const HistorySpan& span) {
            return event.at >= span.from() && event.at <= span.from() + context.options.coldDetect;
        });
    }

}

void checkRouting(const CheckContext& context)
{
    for (const HistoryEvent& event : context.events) {
        if (event.kind == HistoryKind::UpstreamPacket)
            checkPacketService(context, event);
        else if (event.kind == HistoryKind::UpstreamWorkBegan)
            checkWorkService(context, event);
    }
}

void checkColdStarts(const CheckContext& context)
{
    for (const HistoryEvent& event : context.events) {
        const bool exceedsCapacity = event.kind == HistoryKind::UpstreamWorkBegan && event.bearable > 0 && event.concurrent > event.bearable;
        const bool hasFailed = event.kind == HistoryKind::UpstreamOverloaded;
        if ((exceedsCapacity || hasFailed) && !isBeforeColdDetection(context, event))
            context.report(Promise::ColdSpared, context.index.upstreamOf(event) + " got " + std::to_string(event.concurrent) + " requests at once, but can process only " + std::to_string(event.bearable), { &event });
    }
}

}
