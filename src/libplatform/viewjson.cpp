#include "viewjson.h"

#include <nlohmann/json.hpp>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    json toDocument(const PeerEntry& entry)
    {
        return {
            { "name", entry.name },
            { "role", nameOf(entry.role) },
            { "address", entry.address },
            { "dataCentre", entry.dataCentre },
            { "service", entry.service },
            { "state", nameOf(entry.state) },
            { "slots", entry.slots },
            { "epoch", entry.epoch },
        };
    }

    PeerEntry entryOf(const json& document)
    {
        const auto role = fromName<PeerRole>(document.at("role").get<std::string>());
        const auto state = fromName<PeerState>(document.at("state").get<std::string>());
        if (!role || !state)
            throw json::other_error::create(0, "unknown role or state", nullptr);
        return {
            .name = document.at("name").get<std::string>(),
            .role = *role,
            .address = document.at("address").get<std::uint32_t>(),
            .dataCentre = document.at("dataCentre").get<std::string>(),
            .service = document.at("service").get<std::string>(),
            .state = *state,
            .slots = document.at("slots").get<std::uint32_t>(),
            .epoch = document.at("epoch").get<std::uint64_t>(),
        };
    }

    json toDocument(const FlowRoute& route)
    {
        json shares = json::array();
        for (const RouteShare& share : route.shares)
            shares.push_back({ { "service", share.service }, { "weight", share.weight } });
        return {
            { "address", route.address.address },
            { "port", route.address.port },
            { "shares", shares },
            { "latencyTargetMs", route.latencyTarget },
            { "priority", route.priority },
        };
    }

    FlowRoute routeOf(const json& document)
    {
        FlowRoute route {
            .address = { .address = document.at("address").get<std::uint32_t>(), .port = document.at("port").get<std::uint16_t>() },
            .shares = {},
            .latencyTarget = document.at("latencyTargetMs").get<Millis>(),
            .priority = document.at("priority").get<std::uint32_t>(),
        };
        for (const json& share : document.at("shares"))
            route.shares.push_back({ .service = share.at("service").get<std::string>(), .weight = share.at("weight").get<std::uint32_t>() });
        return route;
    }

    json toDocument(const ServiceLimits& limits)
    {
        return { { "name", limits.name }, { "flowLimit", limits.flowLimit }, { "warmUpMs", limits.warmUp }, { "coldRate", limits.coldRate } };
    }

    ServiceLimits limitsOf(const json& document)
    {
        return {
            .name = document.at("name").get<std::string>(),
            .flowLimit = document.at("flowLimit").get<std::uint32_t>(),
            .warmUp = document.at("warmUpMs").get<Millis>(),
            .coldRate = document.at("coldRate").get<double>(),
        };
    }

    template <typename Item>
    json toArray(const std::vector<Item>& items)
    {
        json array = json::array();
        for (const Item& item : items)
            array.push_back(toDocument(item));
        return array;
    }

    template <typename Item>
    std::vector<Item> fromArray(const json& array, Item (*read)(const json&))
    {
        std::vector<Item> items;
        for (const json& item : array)
            items.push_back(read(item));
        return items;
    }

    RouteTable tableOf(const json& document)
    {
        return {
            .version = document.at("version").get<ConfigVersion>(),
            .routes = fromArray(document.at("routes"), routeOf),
            .services = fromArray(document.at("services"), limitsOf),
            .idleLimit = document.at("idleLimitMs").get<Millis>(),
        };
    }

    DeploymentView viewOf(const json& document)
    {
        const json& outages = document.at("outages");
        DeploymentView view { .routes = {}, .outages = { .revision = outages.at("revision").get<std::uint64_t>(), .out = outages.at("out").get<std::vector<std::string>>() }, .entries = {} };
        if (document.contains("routes"))
            view.routes = tableOf(document.at("routes"));
        if (document.contains("entries"))
            view.entries = fromArray(document.at("entries"), entryOf);
        return view;
    }

    template <typename Result>
    std::optional<Result> parseAs(std::string_view text, Result (*read)(const json&))
    {
        const json document = json::parse(text, nullptr, false);
        if (document.is_discarded())
            return std::nullopt;
        try {
            return read(document);
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

}

std::string toJson(const DeploymentView& view, const ViewParts& parts)
{
    json document { { "outages", { { "revision", view.outages.revision }, { "out", view.outages.out } } } };
    if (parts.routes)
        document["routes"] = { { "version", view.routes.version }, { "routes", toArray(view.routes.routes) }, { "services", toArray(view.routes.services) }, { "idleLimitMs", view.routes.idleLimit } };
    if (parts.entries)
        document["entries"] = toArray(view.entries);
    return document.dump();
}

std::optional<DeploymentView> parseView(std::string_view text)
{
    return parseAs(text, viewOf);
}

std::string toJson(const PeerEntry& entry)
{
    return toDocument(entry).dump();
}

std::optional<PeerEntry> parsePeerEntry(std::string_view text)
{
    return parseAs(text, entryOf);
}

}
