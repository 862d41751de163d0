#include "routetimes.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    RouteTime& findOrAdd(RouteTimes& times, const PacketEndpoint& route)
    {
        const auto found = std::ranges::find(times.routes, route, &RouteTime::route);
        if (found != times.routes.end())
            return *found;
        if (times.routes.size() < times.options.maxRoutes)
            return times.routes.emplace_back(RouteTime { .route = route, .time = {} });
        const auto oldest = std::ranges::min_element(times.routes, {}, &RouteTime::observedAt);
        *oldest = { .route = route, .time = {} };
        return *oldest;
    }

}

void recordRouteTime(RouteTimes& times, const PacketEndpoint& route, Millis time, Millis now)
{
    RouteTime& entry = findOrAdd(times, route);
    entry.observedAt = now;
    recordServiceTime(entry.time, static_cast<double>(time), times.options.minWeight);
}

Millis timelyWait(const RouteTimes& times, const PacketEndpoint& route, Millis latencyTarget)
{
    const RouteTimesOptions& options = times.options;
    const auto target = static_cast<double>(latencyTarget);
    const auto found = std::ranges::find(times.routes, route, &RouteTime::route);
    if (found == times.routes.end() || found->time.samples < options.minSamples)
        return static_cast<Millis>(target * options.defaultWait);
    const double wait = target - found->time.mean - found->time.deviation;
    return static_cast<Millis>(std::clamp(wait, target * options.minWait, target * options.maxWait));
}

}
