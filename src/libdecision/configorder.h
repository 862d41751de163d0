#pragma once

#include "enumnames.h"
#include "ids.h"

namespace kingcuptrail {

struct ConfigOrderOptions {
    /// Test only: off, whatever is offered last is put in force.
    bool guard = true;
};

/// Whether an offered configuration is put in force in place of the held one; version 0 is none at all.
bool supersedes(ConfigVersion held, ConfigVersion offered, const ConfigOrderOptions& options = {});

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
