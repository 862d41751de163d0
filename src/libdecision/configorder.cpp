#include "configorder.h"

#include <algorithm>

namespace kingcuptrail {

// A slow watch or a peer that was partitioned may deliver an older configuration after a newer one, which could return a data
// centre to service by itself. The platform's conditional write only assigns growing versions, so comparing versions is
// enough for any order of delivery.
bool supersedes(ConfigVersion currentVersion, ConfigVersion offeredVersion, const ConfigOrderOptions& options)
{
    if (!options.guard)
        return offeredVersion != currentVersion && offeredVersion != 0;
    return offeredVersion > currentVersion;
}

// A balancer that has not received the return of a data centre resets the flows that its agents open, so that a planned
// change would cut feeds. Heartbeats carry each balancer's version, and the agent waits for all balancers linked to it. The
// link of a paused balancer is closed after a while, and a resumed balancer reads its pending messages first.
bool mayAcceptFlowsAfterReturn(ConfigVersion returnVersion, std::span<const ConfigVersion> balancers, const ConfigOrderOptions& options)
{
    return !options.returnGuard || std::ranges::all_of(balancers, [returnVersion](ConfigVersion version) { return version >= returnVersion; });
}

ConfigStep nextConfigStep(ConfigVersion ownVersion, ConfigVersion peerVersion)
{
    if (peerVersion > ownVersion)
        return ConfigStep::Fetch;
    if (peerVersion < ownVersion)
        return ConfigStep::Offer;
    return ConfigStep::Nothing;
}

}
