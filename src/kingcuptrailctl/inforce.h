#pragma once

#include "daemons.h"

namespace kingcuptrail {

/// Whether a version is in force everywhere, and where it is not.
struct InForce {
    /// False when the daemons could not be learned.
    bool isKnown = true;
    std::size_t daemons = 0;
    /// Daemons that do not answer or have an older version.
    std::vector<DaemonAnswer> lagging;
    /// How long it took, in milliseconds.
    Millis took = 0;

    bool isEverywhere() const { return isKnown && lagging.empty(); }
};

/// Asks all daemons until each has this version or a later one in force, or the time is over.
InForce waitInForce(ConfigVersion version, const CtlOptions& options);

/// Why a daemon lags, as "at version 3" or "connectFailed".
std::string lagOf(const DaemonAnswer& answer);

}
