#pragma once

#include "packet.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuptrail {

/// A service that gets a part of a route's new flows.
struct RouteShare {
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const RouteShare&) const = default;
};

/// Where new flows to one address go.
struct FlowRoute {
    PacketEndpoint address;
    std::vector<RouteShare> shares;
    /// Within which time callers want an answer, in milliseconds.
    Millis latencyTarget = 0;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;

    bool operator==(const FlowRoute&) const = default;
};

/// What one upstream of a service can bear.
struct ServiceLimits {
    std::string name;
    /// Flows one upstream may hold; 0 means no limit.
    std::uint32_t flowLimit = 0;
    /// How long an upstream is cold after its start, in milliseconds.
    Millis warmUp = 0;
    /// New requests a second that a cold upstream bears; 0 means that no such bound is set.
    double coldRate = 0;

    bool operator==(const ServiceLimits&) const = default;
};

/// The configuration of a datagram deployment, in whole. Versions are the operator's and only grow.
struct RouteTable {
    ConfigVersion version = 0;
    std::vector<FlowRoute> routes;
    std::vector<ServiceLimits> services;
    /// A flow that was silent for longer may be discarded by either end, in milliseconds.
    Millis idleLimit = 15000;

    bool operator==(const RouteTable&) const = default;
};

/// Which data centres operators have taken out, as of one revision of the store.
struct OutageView {
    std::uint64_t revision = 0;
    std::vector<std::string> out;

    bool operator==(const OutageView&) const = default;
};

const FlowRoute* findRoute(const RouteTable&, const PacketEndpoint& address);
const ServiceLimits* findLimits(const RouteTable&, std::string_view service);
bool isOut(const OutageView&, std::string_view dataCentre);

/// The service that a new flow goes to: by weight, the same for every copy of the flow's opening packet; nullptr when the
/// configuration has no route for the address.
const std::string* serviceForFlow(const RouteTable&, const FlowKey&);

/// Whether a flow to `address` may go to `service`.
bool allowsService(const RouteTable&, const PacketEndpoint& address, std::string_view service);

/// The longest time within which callers of any route to `service` want an answer, in milliseconds; 0 without such a route.
Millis longestLatencyTarget(const RouteTable&, std::string_view service);

/// Puts a configuration in force unless one at least as new already is; whether it did. News arrives in any order, from
/// the store and from peers, and a configuration that was in force is never taken back.
bool offerRoutes(RouteTable& current, RouteTable next);
bool offerOutages(OutageView& current, OutageView next);

}
