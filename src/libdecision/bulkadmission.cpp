#include "bulkadmission.h"

#include <algorithm>
#include <cmath>

namespace kingcuptrail {

namespace {

    double linkBytesPerMilli(const BulkAdmissionOptions& options)
    {
        constexpr double bytesPerMegabitAndMilli = 125;
        return options.linkMegabits * bytesPerMegabitAndMilli;
    }

    double decayedBytes(const BulkAdmission& admission, Millis now)
    {
        const Millis age = now - admission.receivedAt;
        if (age <= 0)
            return admission.receivedBytes;
        return admission.receivedBytes * std::exp(-static_cast<double>(age) / static_cast<double>(admission.options.rateSpan));
    }

    RouteFlows* findRouteFlows(std::vector<RouteFlows>& routes, const PacketEndpoint& address)
    {
        const auto found = std::ranges::find(routes, address, &RouteFlows::address);
        return found != routes.end() ? &*found : nullptr;
    }

    RouteFlows& routeFlowsOf(BulkAdmission& admission, const PacketEndpoint& address, Millis now)
    {
        auto& routes = admission.routes;
        if (RouteFlows* known = findRouteFlows(routes, address))
            return *known;
        if (routes.size() < admission.options.maxRoutes)
            return routes.emplace_back(RouteFlows { .address = address, .halvedAt = now });
        auto& oldest = *std::ranges::min_element(routes, {}, &RouteFlows::halvedAt);
        oldest = { .address = address, .halvedAt = now };
        return oldest;
    }

    // Counts a flow once. One that was counted as small and becomes bulk later is added to the bulk flows only. The counts are
    // not halved below the minimum, so that a route with few flows stays known.
    void countFlow(BulkAdmission& admission, const PacketEndpoint& address, CountedAs before, CountedAs after, Millis now)
    {
        RouteFlows& route = routeFlowsOf(admission, address, now);
        if (now - route.halvedAt >= admission.options.halvingInterval && route.flows >= 2 * admission.options.minRouteFlows) {
            route.flows /= 2;
            route.bulkFlows /= 2;
            route.halvedAt = now;
        }
        route.flows += before == CountedAs::Nothing ? 1 : 0;
        route.bulkFlows = std::min(route.bulkFlows + (after == CountedAs::Bulk ? 1 : 0), route.flows);
    }

    void countFlow(BulkAdmission& admission, const FlowKey& flow, ObservedFlow& observed, CountedAs after, Millis now)
    {
        if (observed.countedAs >= after)
            return;
        countFlow(admission, flow.service, observed.countedAs, after, now);
        observed.countedAs = after;
    }

    void beginActivity(BulkAdmission& admission, const FlowKey& flow, ObservedFlow& observed, Millis now)
    {
        observed.isActive = true;
        observed.activeSince = now;
        admission.active.push_back(flow);
    }

    // Does not change the list of active flows.
    void endActivity(BulkAdmission& admission, ObservedFlow& observed, Millis now)
    {
        observed.isActive = false;
        // A flow that no agent admitted says nothing about the time that an upload takes.
        if (observed.dataSince > 0)
            recordServiceTime(admission.placeTime, static_cast<double>(now - observed.activeSince), admission.options.timeWeight);
    }

    void endFlow(BulkAdmission& admission, const FlowKey& flow, ObservedFlow& observed, Millis now)
    {
        if (observed.isActive) {
            endActivity(admission, observed, now);
            std::erase(admission.active, flow);
        }
        if (observed.dataSince > 0)
            countFlow(admission, flow, observed, CountedAs::Small, now);
        observed.hasEnded = true;
    }

    // Counts bytes in two halves of `bulkSpan`, so that the sum covers between half of it and all, without a list of packets.
    void addBytes(ObservedFlow& observed, Millis half, double bytes, Millis now)
    {
        const Millis age = now - observed.halfSince;
        if (age >= 2 * half) {
            observed.precedingBytes = 0;
            observed.halfBytes = 0;
            observed.halfSince = now;
        } else if (age >= half) {
            observed.precedingBytes = observed.halfBytes;
            observed.halfBytes = 0;
            observed.halfSince += half;
        }
        observed.halfBytes += bytes;
    }

    void recordData(BulkAdmission& admission, const FlowKey& flow, ObservedFlow& observed, double bytes, Millis now)
    {
        const BulkAdmissionOptions& options = admission.options;
        observed.lastDataAt = now;
        if (observed.hasEnded)
            return;
        if (observed.dataSince == 0)
            observed.dataSince = now;
        addBytes(observed, options.bulkSpan / 2, bytes, now);
        const bool exceedsWindow = observed.precedingBytes + observed.halfBytes > options.windowBytes;
        if (exceedsWindow) {
            observed.isBulk = true;
            countFlow(admission, flow, observed, CountedAs::Bulk, now);
        } else if (now - observed.dataSince >= options.bulkSpan) {
            countFlow(admission, flow, observed, CountedAs::Small, now);
        }
        if (!observed.isActive && (exceedsWindow || observed.isExpected)) {
            beginActivity(admission, flow, observed, now);
        } else if (observed.isActive && !exceedsWindow && now - observed.activeSince >= options.bulkSpan) {
            // A long flow that goes on with small requests does not keep its place.
            endActivity(admission, observed, now);
            std::erase(admission.active, flow);
            observed.isBulk = false;
        }
        observed.isExpected = false;
    }

    // When the table is full, new flows are not observed; the measured rate still limits the link.
    ObservedFlow* observeFlow(BulkAdmission& admission, const FlowKey& flow)
    {
        if (admission.flows.size() >= admission.options.maxFlows)
            return nullptr;
        return &admission.flows.try_emplace(flow).first->second;
    }

    void admitOpening(BulkAdmission& admission, const FlowKey& flow, Millis now)
    {
        ObservedFlow& observed = admission.flows[flow];
        observed = { .lastDataAt = now, .isExpected = true };
        beginActivity(admission, flow, observed, now);
    }

    bool isWaiting(const BulkAdmission& admission, const FlowKey& flow)
    {
        return std::ranges::find(admission.waiting, flow, &WaitingBulkOpening::flow) != admission.waiting.end();
    }

    bool hasRoom(const BulkAdmission& admission, std::size_t limit, Millis now)
    {
        return admission.active.size() < limit && linkUse(admission, now) <= admission.options.fullShare;
    }

    // The expected time between two places that become free, in milliseconds. Before the first observation a bulk flow is
    // assumed to send two windows. It sends more than one, so the link takes at least that long for each of them.
    double placeInterval(const BulkAdmission& admission, std::size_t limit)
    {
        const double windowTime = admission.options.windowBytes / linkBytesPerMilli(admission.options);
        if (admission.placeTime.samples == 0)
            return 2 * windowTime;
        return std::max(windowTime, admission.placeTime.mean / static_cast<double>(limit));
    }

    // Places become free one after the other, `limit` of them in the time of one flow. On a full link the measured rate has to
    // decay first.
    double expectedWait(const BulkAdmission& admission, std::size_t limit, Millis now)
    {
        const double interval = placeInterval(admission, limit);
        const std::size_t taken = admission.active.size() + admission.waiting.size() + 1;
        const double placeWait = taken > limit ? static_cast<double>(taken - limit) * interval : 0;
        const double excess = linkUse(admission, now) / admission.options.fullShare;
        if (excess <= 1)
            return placeWait;
        const double decayTime = std::log(excess) * static_cast<double>(admission.options.rateSpan);
        return std::max(placeWait, decayTime + static_cast<double>(admission.waiting.size()) * interval);
    }

    // Without a latency target an opening could not wait for any time.
    bool isLimitedRoute(const BulkAdmission& admission, const RouteTable& routes, const PacketEndpoint& address)
    {
        const FlowRoute* route = findRoute(routes, address);
        return route && route->latencyTarget > 0 && isBulkRoute(admission, address);
    }

    void endQuietFlows(BulkAdmission& admission, Millis now)
    {
        std::erase_if(admission.active, [&](const FlowKey& flow) {
            ObservedFlow& observed = admission.flows.at(flow);
            if (now - std::max(observed.lastDataAt, observed.activeSince) <= admission.options.dataGap)
                return false;
            endActivity(admission, observed, now);
            observed.isBulk = false;
            return true;
        });
    }

    void removeIdleFlows(BulkAdmission& admission, Millis now)
    {
        admission.sweptAt = now;
        for (auto item = admission.flows.begin(); item != admission.flows.end();) {
            auto& [flow, observed] = *item;
            if (observed.isActive || now - observed.lastDataAt <= admission.options.idleLimit) {
                ++item;
                continue;
            }
            if (observed.dataSince > 0)
                countFlow(admission, flow, observed, CountedAs::Small, now);
            item = admission.flows.erase(item);
        }
    }

}

double linkUse(const BulkAdmission& admission, Millis now)
{
    return decayedBytes(admission, now) / static_cast<double>(admission.options.rateSpan) / linkBytesPerMilli(admission.options);
}

bool isBulkRoute(const BulkAdmission& admission, const PacketEndpoint& address)
{
    const auto found = std::ranges::find(admission.routes, address, &RouteFlows::address);
    if (found == admission.routes.end() || found->flows < admission.options.minRouteFlows)
        return false;
    return found->bulkFlows >= admission.options.bulkRouteShare * found->flows;
}

bool isBulkFlow(const BulkAdmission& admission, const FlowKey& flow)
{
    if (!isLimiting(admission))
        return false;
    const auto found = admission.flows.find(flow);
    return found != admission.flows.end() && found->second.isBulk;
}

// The queueing delay of a small packet is number of active bulk flows x window / link rate, since each may have a window on its
// way at the same time.
std::size_t bulkFlowLimit(const BulkAdmission& admission, const RouteTable& routes)
{
    Millis shortest = 0;
    for (const FlowRoute& route : routes.routes) {
        if (route.latencyTarget > 0 && (shortest == 0 || route.latencyTarget < shortest))
            shortest = route.latencyTarget;
    }
    if (shortest == 0)
        return 0;
    const double delay = admission.options.delayShare * static_cast<double>(shortest);
    return std::max<std::size_t>(1, static_cast<std::size_t>(delay * linkBytesPerMilli(admission.options) / admission.options.windowBytes));
}

BulkInputs bulkInputs(const BulkAdmission& admission, const RouteTable& routes, const FlowKey& flow, Millis now)
{
    const FlowRoute* route = findRoute(routes, flow.service);
    const auto share = static_cast<Millis>(route ? admission.options.waitShare * static_cast<double>(route->latencyTarget) : 0);
    const std::size_t limit = bulkFlowLimit(admission, routes);
    return {
        .active = admission.active.size(),
        .limit = limit,
        .waiting = admission.waiting.size(),
        .receivedMegabits = linkUse(admission, now) * admission.options.linkMegabits,
        .expectedWait = limit > 0 ? expectedWait(admission, limit, now) : 0,
        .maxWait = std::min(share, maxOpeningWait()),
    };
}

BulkDecision decideBulkOpening(BulkAdmission& admission, const RouteTable& routes, const FlowKey& flow, Millis now)
{
    if (!isLimiting(admission))
        return BulkDecision::Admit;
    if (isWaiting(admission, flow))
        return BulkDecision::Wait;
    const std::size_t limit = isLimitedRoute(admission, routes, flow.service) ? bulkFlowLimit(admission, routes) : 0;
    const auto known = admission.flows.find(flow);
    const bool wasRefused = known != admission.flows.end() && known->second.wasRefused;
    if (limit == 0 || (known != admission.flows.end() && !wasRefused))
        return BulkDecision::Admit;
    endQuietFlows(admission, now);
    if (!wasRefused && admission.waiting.empty() && hasRoom(admission, limit, now)) {
        admitOpening(admission, flow, now);
        return BulkDecision::Admit;
    }
    const BulkInputs& inputs = admission.lastInputs = bulkInputs(admission, routes, flow, now);
    if (wasRefused || inputs.expectedWait >= static_cast<double>(inputs.maxWait) || inputs.waiting >= admission.options.maxWaiting)
        return BulkDecision::Refuse;
    admission.waiting.push_back({ .flow = flow, .since = now, .until = now + inputs.maxWait });
    return BulkDecision::Wait;
}

void recordCallerPacket(BulkAdmission& admission, const FlowKey& flow, const PacketHeader& header, std::size_t bytes, Millis now)
{
    if (!isLimiting(admission))
        return;
    admission.receivedBytes = decayedBytes(admission, now) + static_cast<double>(bytes);
    admission.receivedAt = now;
    const bool isLast = header.flags.ends || header.flags.resets;
    const auto found = admission.flows.find(flow);
    if (found == admission.flows.end()) {
        if (header.flags.opens || header.dataLength == 0)
            return;
        // A request in a single packet needs no entry.
        if (isLast)
            countFlow(admission, flow.service, CountedAs::Nothing, CountedAs::Small, now);
        else if (ObservedFlow* observed = observeFlow(admission, flow))
            recordData(admission, flow, *observed, static_cast<double>(bytes), now);
        return;
    }
    ObservedFlow& observed = found->second;
    // The caller uses the port of an ended flow again, or has not received the reset.
    if (header.flags.opens && observed.hasEnded && !(observed.wasRefused && now - observed.lastDataAt <= admission.options.dataGap)) {
        admission.flows.erase(found);
        return;
    }
    if (header.dataLength > 0 && !header.flags.opens)
        recordData(admission, flow, observed, static_cast<double>(bytes), now);
    if (isLast)
        endFlow(admission, flow, observed, now);
}

void recordFlowReset(BulkAdmission& admission, const FlowKey& flow, Millis now)
{
    if (!isLimiting(admission))
        return;
    if (const auto found = admission.flows.find(flow); found != admission.flows.end())
        endFlow(admission, flow, found->second, now);
}

bool removeWaiting(BulkAdmission& admission, const FlowKey& flow)
{
    return std::erase_if(admission.waiting, [&flow](const WaitingBulkOpening& opening) { return opening.flow == flow; }) > 0;
}

void updateActivity(BulkAdmission& admission, Millis now)
{
    if (!isLimiting(admission))
        return;
    endQuietFlows(admission, now);
    if (now - admission.sweptAt >= admission.options.sweepInterval)
        removeIdleFlows(admission, now);
}

// Openings whose route has turned out not to be bulk since they arrived are admitted without a place.
std::vector<FlowKey> takeAdmitted(BulkAdmission& admission, const RouteTable& routes, Millis now)
{
    std::vector<FlowKey> admitted;
    if (admission.waiting.empty())
        return admitted;
    endQuietFlows(admission, now);
    const std::size_t limit = bulkFlowLimit(admission, routes);
    bool isBlocked = false;
    std::deque<WaitingBulkOpening> remaining;
    for (const WaitingBulkOpening& opening : admission.waiting) {
        const bool isLimited = limit > 0 && isLimitedRoute(admission, routes, opening.flow.service);
        isBlocked = isBlocked || (isLimited && !hasRoom(admission, limit, now));
        if (isLimited && isBlocked) {
            remaining.push_back(opening);
            continue;
        }
        if (isLimited)
            admitOpening(admission, opening.flow, now);
        admitted.push_back(opening.flow);
    }
    admission.waiting = std::move(remaining);
    return admitted;
}

std::vector<FlowKey> takeExpired(BulkAdmission& admission, Millis now)
{
    std::vector<FlowKey> expired;
    const auto isExpired = [now](const WaitingBulkOpening& opening) { return now >= opening.until; };
    for (const WaitingBulkOpening& opening : admission.waiting) {
        if (!isExpired(opening))
            continue;
        expired.push_back(opening.flow);
        if (ObservedFlow* observed = observeFlow(admission, opening.flow))
            *observed = { .lastDataAt = now, .hasEnded = true, .wasRefused = true };
    }
    std::erase_if(admission.waiting, isExpired);
    return expired;
}

}
