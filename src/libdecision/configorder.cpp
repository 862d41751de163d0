#include "configorder.h"

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

ConfigStep nextConfigStep(ConfigVersion mine, ConfigVersion theirs)
{
    if (theirs > mine)
        return ConfigStep::Fetch;
    if (theirs < mine)
        return ConfigStep::Offer;
    return ConfigStep::Nothing;
}

}
