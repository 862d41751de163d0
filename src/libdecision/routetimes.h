#pragma once

#include "packet.h"
#include "servicetime.h"

#include <vector>

namespace kingcuptrail {

struct RouteTimesOptions {
    /// With fewer observations of a route its openings may wait for half of the latency target.
    std::uint32_t minSamples = 8;
    /// Weight of the newest observation. The estimate follows a change within about ten requests.
    double minWeight = 0.1;
    /// Number of routes that are kept; the one without an observation for the longest time is replaced.
    std::size_t maxRoutes = 64;
    /// The least and the largest part of the latency target for which an opening may wait. With less than a quarter nearly all
    /// openings would count as late when the upstream is slow for a moment; the last tenth covers the answer's way back.
    double minWait = 0.25;
    double defaultWait = 0.5;
    double maxWait = 0.9;
};

/// The observed time of one route's requests at the upstream.
struct RouteTime {
    PacketEndpoint route;
    ServiceTime time;
    Millis observedAt = 0;
};

/// How long requests take at one upstream, by route. Short and long work share an agent's queue: with one limit for all, an
/// opening of long work is admitted ahead of others when its answer is already late, and one of short work that could still
/// be answered in time is put behind them.
struct RouteTimes {
    RouteTimesOptions options;
    std::vector<RouteTime> routes;
};

/// Records the time from an opening's delivery, or from a request's first packet on an open flow, to the first data of the
/// answer, in milliseconds.
void recordRouteTime(RouteTimes&, const PacketEndpoint& route, Millis time, Millis now);

/// How long an opening may wait since its caller sent it for its answer to meet the latency target, in milliseconds: the
/// target less the mean of the observed times and one mean deviation.
Millis timelyWait(const RouteTimes&, const PacketEndpoint& route, Millis latencyTarget);

}
