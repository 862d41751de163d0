#pragma once

#include "enumnames.h"
#include "ids.h"

#include <span>

namespace kingcuptrail {

struct ConfigOrderOptions {
    /// Test only: off, whatever is offered last is put in force.
    bool guard = true;
    /// Test only: off, a data centre that came back takes new flows at once.
    bool returnGuard = true;
};

/// Whether an offered configuration is put in force in place of the held one; version 0 is none at all.
bool supersedes(ConfigVersion held, ConfigVersion offered, const ConfigOrderOptions& options = {});

/// Whether an agent whose data centre came back with the configuration `back` may take new flows, given the versions that
/// its linked balancers have named.
bool mayReturn(ConfigVersion back, std::span<const ConfigVersion> balancers, const ConfigOrderOptions& options = {});

/// What to do with a peer whose heartbeat names a version.
enum class ConfigStep : std::uint8_t {
    Nothing,
    /// The peer is ahead: ask it.
    Fetch,
    /// The peer is behind: send it ours.
    Offer,
};

template <>
struct EnumNames<ConfigStep> {
    static constexpr std::array<std::string_view, 3> names { "nothing", "fetch", "offer" };
};

/// The step towards a peer at version `theirs`.
ConfigStep nextConfigStep(ConfigVersion mine, ConfigVersion theirs);

}
