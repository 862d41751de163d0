#pragma once

#include "ids.h"

#include <cstddef>
#include <optional>

namespace kingcuptrail {

struct ViewFetchLimiterOptions {
    /// Minimum time between two fetches of a configuration, in milliseconds, since several peers announce the same new
    /// version. Shorter than the time within which a process must follow a version that has taken effect elsewhere.
    Millis routesInterval = 100;
    /// Minimum time between two fetches of the whole directory, in milliseconds. `firstDirectoryInterval` applies soon
    /// after the process's start.
    Millis directoryInterval = 1000;
    Millis firstDirectoryInterval = 150;
    /// The interval is at least this long for each entry of the directory, in milliseconds, so that the bytes per second
    /// don't grow with the fleet.
    Millis intervalPerEntry = 10;
    /// How long after its start a process uses the shorter interval, in milliseconds.
    Millis learningTime = 3000;
};

/// Limits how often a process fetches parts of its view from peers.
struct ViewFetchLimiter {
    ViewFetchLimiterOptions options;
    Millis startedAt = 0;
    std::optional<Millis> routesFetchedAt;
    std::optional<Millis> directoryFetchedAt;
};

/// Whether to fetch the configuration from a peer that has version `offered`; if so, records the fetch. A process without a
/// configuration does not wait for the interval, since callers wait for it, and fetches the directory together with it.
bool tryBeginRoutesFetch(ViewFetchLimiter&, ConfigVersion own, ConfigVersion offered, Millis now);

/// Whether to fetch the directory, which has `entries` entries here; if so, records the fetch.
bool tryBeginDirectoryFetch(ViewFetchLimiter&, std::size_t entries, Millis now);

}
