#pragma once

#include "libplatform/config.h"

#include <map>
#include <string>
#include <vector>

namespace kingcuptrail {

/// The changes that bring a peer from version `base`, or a later one, to `changed.version`. Contains all data centres,
/// since they are few and matter most, and the services that changed after `base`. A base of 0 marks a full configuration.
struct ConfigDelta {
    ConfigVersion base = 0;
    Config changed;
    std::vector<std::string> removed;
};

/// Remembers the version in which each service last changed, so that links carry only the changed services. With thousands
/// of services and changes a day, full configurations would make up most of the control traffic.
class ConfigHistory {
public:
    /// Records the differences between `previous` and `current`.
    void record(const Config& current, const Config& previous);

    /// The delta from version `have` to `current`; a full configuration when `have` is older than the history.
    ConfigDelta since(ConfigVersion have, const Config& current) const;

private:
    /// Limit for the remembered names of removed services. Beyond it the history is cleared, and a peer with an older
    /// version gets a full configuration.
    static constexpr std::size_t maxRemovedNames = 4096;

    ConfigVersion m_historyStart = 0;
    std::map<std::string, ConfigVersion, std::less<>> m_changeVersions;
    std::map<std::string, ConfigVersion, std::less<>> m_removalVersions;
};

/// Applies a delta to the held configuration; nothing when the held one is older than the base of the delta.
std::optional<Config> mergeDelta(const Config& held, const ConfigDelta& delta);

/// Splits a delta into parts of at most `servicesPerPart` services. The first part carries the removed names.
std::vector<ConfigDelta> splitDelta(const ConfigDelta& delta, std::size_t servicesPerPart);

}
