#pragma once

#include "daemons.h"

namespace kingcuptrail {

/// Whether a version is in force on all daemons, and on which it is not.
struct InForce {
    /// False when the platform could not list the daemons.
    bool isKnown = true;
    std::size_t daemons = 0;
    /// Daemons that do not answer or have an older version in force.
    std::vector<DaemonAnswer> lagging;
    /// Duration of the wait, in milliseconds.
    Millis took = 0;

    bool isEverywhere() const { return isKnown && lagging.empty(); }
};

/// Polls all daemons until each has this version or a later one in force, or until the timeout in `options`.
InForce waitInForce(ConfigVersion version, const CtlOptions& options);

/// Why the version is not known to be in force on a daemon, such as "at version 3" or "connectFailed".
std::string describeLag(const DaemonAnswer& answer);

}
