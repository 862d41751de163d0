#pragma once

#include "config.h"

namespace kingcuptrail {

enum class ChangeKind : std::uint8_t {
    ServiceAdded,
    ServiceRemoved,
    ServiceChanged,
    DataCentreAdded,
    DataCentreRemoved,
    DataCentreTakenOut,
    DataCentreBroughtBack,
};

template <>
struct EnumNames<ChangeKind> {
    static constexpr std::array<std::string_view, 7> names {
        "serviceAdded",
        "serviceRemoved",
        "serviceChanged",
        "dataCentreAdded",
        "dataCentreRemoved",
        "dataCentreTakenOut",
        "dataCentreBroughtBack",
    };
};

/// One difference between two configurations, as operators read it.
struct ConfigChange {
    ChangeKind kind = ChangeKind::ServiceChanged;
    std::string name;
    /// For a changed service its fields with old and new value, as "slots 5 -> 6".
    std::string detail;

    bool operator==(const ConfigChange&) const = default;
};

/// What would change, in the order of names; the order within the files means nothing.
std::vector<ConfigChange> diffConfigs(const Config& from, const Config& to);

/// The wanted configuration, with the present state of each data centre whose state it does not state.
Config withKeptStates(Config wanted, const std::vector<DataCentreConfig>& present);

/// Whether no data centre is left to serve.
bool isAllOut(const std::vector<DataCentreConfig>& dataCentres);

}
