#include "viewfetching.h"

#include <algorithm>

namespace kingcuptrail {

bool beginRoutesFetch(ViewFetching& state, ConfigVersion own, ConfigVersion offered, Millis now)
{
    if (offered <= own)
        return false;
    if (own != 0 && state.routesFetchedAt && now - *state.routesFetchedAt < state.options.routesInterval)
        return false;
    state.routesFetchedAt = now;
    if (own == 0)
        state.directoryFetchedAt = now;
    return true;
}

bool beginDirectoryFetch(ViewFetching& state, std::size_t entries, Millis now)
{
    const ViewFetchingOptions& options = state.options;
    const bool isNew = now - state.startedAt < options.learningTime;
    const Millis interval = isNew ? options.firstDirectoryInterval : std::max(options.directoryInterval, static_cast<Millis>(entries) * options.intervalPerEntry);
    if (state.directoryFetchedAt && now - *state.directoryFetchedAt < interval)
        return false;
    state.directoryFetchedAt = now;
    return true;
}

}
