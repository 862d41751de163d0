#include "configorder.h"

#include <algorithm>

namespace kingcuptrail {

// Failure: a slow watch or a peer that was cut off delivers an older configuration after a newer one. It would show as a
// data centre that comes back into use by itself. Versions are given out by the platform's conditional write and only
// grow, so a comparison is enough, whatever order news arrives in.
bool supersedes(ConfigVersion held, ConfigVersion offered, const ConfigOrderOptions& options)
{
    if (!options.guard)
        return offered != held && offered != 0;
    return offered > held;
}

// Failure: a data centre comes back, its agents open flows, and a balancer that has not heard of the return resets them
// as given up: a feed cut by a planned change. Heartbeats name each balancer's version, so the agent waits for those it
// is linked to; one that stands still is no longer linked after a while, and reads its news first when it goes on.
bool mayReturn(ConfigVersion back, std::span<const ConfigVersion> balancers, const ConfigOrderOptions& options)
{
    return !options.returnGuard || std::ranges::all_of(balancers, [back](ConfigVersion version) { return version >= back; });
}

ConfigStep nextConfigStep(ConfigVersion mine, ConfigVersion theirs)
{
    if (theirs > mine)
        return ConfigStep::Fetch;
    if (theirs < mine)
        return ConfigStep::Offer;
    return ConfigStep::Nothing;
}

}
