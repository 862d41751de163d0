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

/// One difference between two configurations, for display to an operator.
struct ConfigChange {
    ChangeKind kind = ChangeKind::ServiceChanged;
    std::string name;
    /// For a changed service the changed fields with old and new value, such as "slots 5 -> 6".
    std::string detail;

    bool operator==(const ConfigChange&) const = default;
};

/// The differences, sorted by name. The order of entries in the two configurations is not compared.
std::vector<ConfigChange> diffConfigs(const Config& from, const Config& to);

/// `wanted`, where each data centre without an explicit `out` gets its state from `current`.
Config withInheritedStates(Config wanted, const std::vector<DataCentreConfig>& current);

/// Whether there are data centres and all of them are taken out of service.
bool areAllDataCentresOut(const std::vector<DataCentreConfig>& dataCentres);

}
