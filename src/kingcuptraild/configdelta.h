#pragma once

#include "libplatform/config.h"

#include <map>
#include <string>
#include <vector>

namespace kingcuptrail {

/// What a peer that holds `base`, or any version between, lacks to reach `version`. Holds all data centres, since they
/// are few and matter most, and the services that changed since `base`. A base of 0 means everything.
struct ConfigDelta {
    ConfigVersion base = 0;
    Config changed;
    std::vector<std::string> removed;
};

/// Remembers in which version each service last changed, so that a change costs every link what changed and not the
/// whole configuration: at thousands of services and changes a day, whole documents would be most of the control traffic.
class ConfigHistory {
public:
    void note(const Config& current, const Config& previous);

    /// What a peer at `have` lacks of `current`; everything when `have` is older than what is remembered.
    ConfigDelta since(ConfigVersion have, const Config& current) const;

private:
    /// Names of removed services that are remembered; a peer that is behind by more gets everything.
    static constexpr std::size_t maxRemoved = 4096;

    ConfigVersion m_knownSince = 0;
    std::map<std::string, ConfigVersion, std::less<>> m_changedIn;
    std::map<std::string, ConfigVersion, std::less<>> m_removedIn;
};

/// The configuration that a delta makes of the held one; nothing when the held one is older than its base.
std::optional<Config> mergeDelta(const Config& held, const ConfigDelta& delta);

/// Cuts a delta into parts of which each fits into a frame with room to spare.
std::vector<ConfigDelta> splitDelta(const ConfigDelta& delta, std::size_t servicesPerPart);

}
