#pragma once

#include "packet.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuptrail {

/// A service that gets a share of a route's new flows.
struct RouteShare {
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const RouteShare&) const = default;
};

/// The services that get the new flows to one address.
struct FlowRoute {
    PacketEndpoint address;
    std::vector<RouteShare> shares;
    /// The time within which callers expect an answer, in milliseconds.
    Millis latencyTarget = 0;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// The time after which callers give up a request, in milliseconds; 0 if the configuration does not say.
    Millis timeout = 0;

    bool operator==(const FlowRoute&) const = default;
};

/// Limits of each upstream of a service.
struct ServiceLimits {
    std::string name;
    /// Maximum number of flows of one upstream; 0 means no limit.
    std::uint32_t flowLimit = 0;
    /// How long an upstream is cold after its start, in milliseconds.
    Millis warmUp = 0;
    /// New requests per second that a cold upstream can handle; 0 means no limit.
    double coldRate = 0;

    bool operator==(const ServiceLimits&) const = default;
};

/// The complete configuration of a datagram deployment. Operators assign the versions, which only increase.
struct RouteTable {
    ConfigVersion version = 0;
    std::vector<FlowRoute> routes;
    std::vector<ServiceLimits> services;
    /// Either end may discard a flow without packets for longer than this, in milliseconds.
    Millis idleLimit = 15000;

    bool operator==(const RouteTable&) const = default;
};

/// The data centres that operators have taken out of service, as of one revision of the store.
struct OutageView {
    std::uint64_t revision = 0;
    std::vector<std::string> out;

    bool operator==(const OutageView&) const = default;
};

const FlowRoute* findRoute(const RouteTable&, const PacketEndpoint& address);
const ServiceLimits* findLimits(const RouteTable&, std::string_view service);
bool isDataCentreOut(const OutageView&, std::string_view dataCentre);

/// The service that a new flow goes to, chosen by weight and the same for every copy of the flow's opening packet. Returns
/// nullptr when the configuration has no route for the address.
const std::string* serviceForFlow(const RouteTable&, const FlowKey&);

/// Whether flows to `address` may go to `service`.
bool allowsService(const RouteTable&, const PacketEndpoint& address, std::string_view service);

/// The longest latency target of all routes to `service`, in milliseconds; 0 without such a route.
Millis maxLatencyTarget(const RouteTable&, std::string_view service);

/// Replaces the configuration if `next` has a higher version, and returns whether it did. Updates arrive in any order from
/// the store and from peers, so an older configuration must never replace a newer one. applyOutages() does the same for
/// outages, and returns whether the list of data centres changed.
bool applyRoutes(RouteTable& current, RouteTable next);
bool applyOutages(OutageView& current, OutageView next);

}
