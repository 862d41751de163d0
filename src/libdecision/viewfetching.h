#pragma once

#include "ids.h"

#include <cstddef>
#include <optional>

namespace kingcuptrail {

struct ViewFetchingOptions {
    /// A configuration is fetched at most this often, in milliseconds: several peers name the same new version. Below the
    /// time within which a process has to follow a version whose effect was seen.
    Millis routesInterval = 100;
    /// A whole directory is fetched at most this often, in milliseconds, and soon after the process's start more often.
    Millis directoryInterval = 1000;
    Millis firstDirectoryInterval = 150;
    /// For each entry of the directory the interval is at least so long, in milliseconds, so that the bytes a second do not
    /// grow with the fleet.
    Millis intervalPerEntry = 10;
    /// For so long after its start a process is taken to know little, in milliseconds.
    Millis learningTime = 3000;
};

/// When a process last fetched parts of its view from a peer.
struct ViewFetching {
    ViewFetchingOptions options;
    Millis startedAt = 0;
    std::optional<Millis> routesFetchedAt;
    std::optional<Millis> directoryFetchedAt;
};

/// Whether to fetch the configuration from a peer that has version `offered`, and notes it when so. A process without any
/// configuration does not wait for an interval to pass, since callers wait for it; it fetches the directory as well.
bool beginRoutesFetch(ViewFetching&, ConfigVersion own, ConfigVersion offered, Millis now);

/// Whether to fetch the directory, of which `entries` are known here, and notes it when so.
bool beginDirectoryFetch(ViewFetching&, std::size_t entries, Millis now);

}
