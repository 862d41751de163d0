#include "routetable.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    ServiceAddress sortKey(const FlowRoute& route)
    {
        return toServiceAddress(route.address);
    }

}

const FlowRoute* findRoute(const RouteTable& table, const PacketEndpoint& address)
{
    const auto found = std::ranges::lower_bound(table.routes, toServiceAddress(address), {}, sortKey);
    return found != table.routes.end() && found->address == address ? &*found : nullptr;
}

const ServiceLimits* findLimits(const RouteTable& table, std::string_view service)
{
    const auto found = std::ranges::find(table.services, service, &ServiceLimits::name);
    return found != table.services.end() ? &*found : nullptr;
}

bool isDataCentreOut(const OutageView& view, std::string_view dataCentre)
{
    return std::ranges::find(view.out, dataCentre) != view.out.end();
}

const std::string* serviceForFlow(const RouteTable& table, const FlowKey& flow)
{
    const FlowRoute* route = findRoute(table, flow.service);
    if (!route)
        return nullptr;
    std::uint64_t total = 0;
    for (const RouteShare& share : route->shares)
        total += share.weight;
    if (total == 0)
        return nullptr;
    std::uint64_t point = flowHash(flow) % total;
    for (const RouteShare& share : route->shares) {
        if (point < share.weight)
            return &share.service;
        point -= share.weight;
    }
    return nullptr;
}

bool allowsService(const RouteTable& table, const PacketEndpoint& address, std::string_view service)
{
    const FlowRoute* route = findRoute(table, address);
    return route && std::ranges::any_of(route->shares, [&](const RouteShare& share) { return share.weight > 0 && share.service == service; });
}

Millis maxLatencyTarget(const RouteTable& table, std::string_view service)
{
    Millis longest = 0;
    for (const FlowRoute& route : table.routes) {
        if (allowsService(table, route.address, service))
            longest = std::max(longest, route.latencyTarget);
    }
    return longest;
}

bool applyRoutes(RouteTable& current, RouteTable next)
{
    if (next.version <= current.version)
        return false;
    std::ranges::sort(next.routes, {}, sortKey);
    current = std::move(next);
    return true;
}

bool applyOutages(OutageView& current, OutageView next)
{
    if (next.revision <= current.revision)
        return false;
    std::ranges::sort(next.out);
    const bool isChanged = next.out != current.out;
    current = std::move(next);
    return isChanged;
}

}
