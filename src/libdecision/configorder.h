#pragma once

#include "enumnames.h"
#include "ids.h"

#include <span>

namespace kingcuptrail {

struct ConfigOrderOptions {
    /// Test only: when off, the latest configuration received is always applied.
    bool guard = true;
    /// Test only: when off, a returned data centre accepts new flows at once.
    bool returnGuard = true;
};

/// Whether a received configuration replaces the current one. Version 0 means no configuration.
bool supersedes(ConfigVersion currentVersion, ConfigVersion offeredVersion, const ConfigOrderOptions& options = {});

/// Whether an agent whose data centre was returned to service by configuration `returnVersion` may accept new
/// flows, given the versions that its linked balancers have reported.
bool mayAcceptFlowsAfterReturn(ConfigVersion returnVersion, std::span<const ConfigVersion> balancers, const ConfigOrderOptions& options = {});

/// What to do with a peer whose heartbeat carries a configuration version.
enum class ConfigStep : std::uint8_t {
    Nothing,
    /// The peer is ahead: request its configuration.
    Fetch,
    /// The peer is behind: send it the own configuration.
    Offer,
};

template <>
struct EnumNames<ConfigStep> {
    static constexpr std::array<std::string_view, 3> names { "nothing", "fetch", "offer" };
};

/// The step for a peer at version `peerVersion`.
ConfigStep nextConfigStep(ConfigVersion ownVersion, ConfigVersion peerVersion);

}
