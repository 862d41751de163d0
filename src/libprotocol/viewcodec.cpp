#include "viewcodec.h"

#include <algorithm>
#include <limits>

namespace kingcuptrail {

namespace {

    /// A duration in the width that it has on the wire. Longer ones become the longest, some 50 days.
    std::uint32_t wireMillis(Millis duration)
    {
        constexpr Millis longest = std::numeric_limits<std::uint32_t>::max();
        return static_cast<std::uint32_t>(std::clamp<Millis>(duration, 0, longest));
    }

    /// The sorted, unique names of all services that the routes refer to.
    std::vector<std::string> serviceNamesOf(const RouteTable& table)
    {
        std::vector<std::string> names;
        for (const FlowRoute& route : table.routes) {
            for (const RouteShare& share : route.shares)
                names.push_back(share.service);
        }
        std::ranges::sort(names);
        names.erase(std::unique(names.begin(), names.end()), names.end());
        return names;
    }

    wire::RouteT pack(const FlowRoute& route, const std::vector<std::string>& names)
    {
        wire::RouteT packed;
        packed.address = route.address.address;
        packed.port = route.address.port;
        packed.latency_target = wireMillis(route.latencyTarget);
        packed.priority = route.priority;
        packed.timeout = wireMillis(route.timeout);
        for (const RouteShare& share : route.shares) {
            const auto index = std::ranges::lower_bound(names, share.service) - names.begin();
            packed.shares.emplace_back(static_cast<std::uint16_t>(index), share.weight);
        }
        return packed;
    }

    std::unique_ptr<wire::RoutesT> pack(const RouteTable& table)
    {
        auto packed = std::make_unique<wire::RoutesT>();
        packed->version = table.version;
        packed->service_names = serviceNamesOf(table);
        packed->idle_limit = wireMillis(table.idleLimit);
        for (const FlowRoute& route : table.routes)
            packed->routes.push_back(std::make_unique<wire::RouteT>(pack(route, packed->service_names)));
        for (const ServiceLimits& limits : table.services) {
            auto service = std::make_unique<wire::ServiceLimitsT>();
            service->name = limits.name;
            service->flow_limit = limits.flowLimit;
            service->warm_up = wireMillis(limits.warmUp);
            service->cold_rate = limits.coldRate;
            packed->services.push_back(std::move(service));
        }
        return packed;
    }

    std::unique_ptr<wire::PeerEntryT> pack(const PeerEntry& entry)
    {
        auto packed = std::make_unique<wire::PeerEntryT>();
        packed->name = entry.name;
        packed->role = static_cast<std::uint8_t>(entry.role);
        packed->address = entry.address;
        packed->data_centre = entry.dataCentre;
        packed->service = entry.service;
        packed->state = static_cast<std::uint8_t>(entry.state);
        packed->slots = entry.slots;
        packed->epoch = entry.epoch;
        return packed;
    }

    std::optional<FlowRoute> unpack(const wire::RouteT& packed, const std::vector<std::string>& names)
    {
        FlowRoute route {
            .address = { .address = packed.address, .port = packed.port },
            .shares = {},
            .latencyTarget = packed.latency_target,
            .priority = packed.priority,
            .timeout = packed.timeout,
        };
        for (const wire::RouteShare& share : packed.shares) {
            if (share.service() >= names.size())
                return std::nullopt;
            route.shares.push_back({ .service = names[share.service()], .weight = share.weight() });
        }
        return route;
    }

    std::optional<RouteTable> unpack(const wire::RoutesT& packed)
    {
        RouteTable table { .version = packed.version, .routes = {}, .services = {}, .idleLimit = packed.idle_limit };
        for (const auto& item : packed.routes) {
            auto route = unpack(*item, packed.service_names);
            if (!route)
                return std::nullopt;
            table.routes.push_back(std::move(*route));
        }
        for (const auto& service : packed.services)
            table.services.push_back({ .name = service->name, .flowLimit = service->flow_limit, .warmUp = service->warm_up, .coldRate = service->cold_rate });
        return table;
    }

}

std::string encodeView(const DeploymentView& view, const ViewParts& parts)
{
    wire::ViewT packed;
    packed.outages = std::make_unique<wire::OutagesT>();
    packed.outages->revision = view.outages.revision;
    packed.outages->out = view.outages.out;
    if (parts.routes) {
        packed.routes = pack(view.routes);
        for (const IdleLimitAge& former : view.formerIdleLimits)
            packed.routes->former_idle_limits.emplace_back(wireMillis(former.limit), wireMillis(former.age));
    }
    if (parts.entries) {
        for (const PeerEntry& entry : view.entries)
            packed.entries.push_back(pack(entry));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::View::Pack(builder, &packed));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

std::optional<DeploymentView> decodeView(std::string_view bytes, FrameError& error)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    error = FrameError::Malformed;
    if (!verifier.VerifyBuffer<wire::View>(nullptr))
        return std::nullopt;
    const auto* table = flatbuffers::GetRoot<wire::View>(data);
    const std::unique_ptr<wire::ViewT> packed(table->UnPack());
    DeploymentView view;
    if (packed->outages)
        view.outages = { .revision = packed->outages->revision, .out = packed->outages->out };
    if (packed->routes) {
        auto routes = unpack(*packed->routes);
        if (!routes)
            return std::nullopt;
        view.routes = std::move(*routes);
        for (const wire::IdleLimitAge& former : packed->routes->former_idle_limits)
            view.formerIdleLimits.push_back({ .limit = former.limit(), .age = former.age() });
    }
    if (const auto* entries = table->entries())
        view.entries = entriesOf(*entries);
    error = FrameError::None;
    return view;
}

}
