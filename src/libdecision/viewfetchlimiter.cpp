#include "viewfetchlimiter.h"

#include <algorithm>

namespace kingcuptrail {

bool tryBeginRoutesFetch(ViewFetchLimiter& limiter, ConfigVersion own, ConfigVersion offered, Millis now)
{
    if (offered <= own)
        return false;
    if (own != 0 && limiter.routesFetchedAt && now - *limiter.routesFetchedAt < limiter.options.routesInterval)
        return false;
    limiter.routesFetchedAt = now;
    if (own == 0)
        limiter.directoryFetchedAt = now;
    return true;
}

bool tryBeginDirectoryFetch(ViewFetchLimiter& limiter, std::size_t entries, Millis now)
{
    const ViewFetchLimiterOptions& options = limiter.options;
    const bool isNew = now - limiter.startedAt < options.learningTime;
    const Millis interval = isNew ? options.firstDirectoryInterval : std::max(options.directoryInterval, static_cast<Millis>(entries) * options.intervalPerEntry);
    if (limiter.directoryFetchedAt && now - *limiter.directoryFetchedAt < interval)
        return false;
    limiter.directoryFetchedAt = now;
    return true;
}

}
