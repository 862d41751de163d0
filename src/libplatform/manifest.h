#pragma once

#include "config.h"

#include <optional>
#include <string>
#include <vector>

namespace kingcuptrail {

/// Kinds and names of the objects that hold the configuration in the platform.
inline const std::string manifestKind = "manifest";
inline const std::string manifestName = "current";
inline const std::string serviceObjectKind = "serviceconfig";

/// How many accepted changes a manifest lists. An operator's program whose response was lost finds its own change among them,
/// even if others were accepted since. At four thousand changes a day, 32 cover more time than any retry takes.
constexpr std::size_t maxRecentApplies = 32;

/// How many versions after an object was last referenced it is removed. A daemon that is still reading an older manifest finds
/// the object missing and reads the manifest again; the delay only makes that rare.
constexpr ConfigVersion objectRetentionVersions = 8;

/// Maximum number of old objects that one apply removes. After a change of all two thousand services, removing all old objects
/// at once would delay the operator and use up the platform's write capacity. The limit is well above the few objects that an
/// ordinary apply retires, so that later applies remove the rest.
constexpr std::size_t maxRemovalsPerApply = 32;

/// Maximum number of retired objects that a manifest lists, which keeps it far below the platform's size limit of a megabyte.
/// When there are more, the oldest are dropped from the list and remain in the platform.
constexpr std::size_t maxRetiredObjects = 4000;

struct ManifestService {
    std::string name;
    /// Name of the immutable object that holds the service; it contains a hash of the content.
    std::string object;

    bool operator==(const ManifestService&) const = default;
};

struct ManifestApply {
    std::string applyId;
    ConfigVersion version = 0;
};

/// An object that no manifest has referenced since version `since`.
struct RetiredObject {
    std::string object;
    ConfigVersion since = 0;
};

/// The accepted configuration: one small object that references all service objects and is replaced by one conditional write.
struct Manifest {
    ConfigVersion version = 0;
    std::string applyId;
    std::vector<ManifestService> services;
    std::vector<DataCentreConfig> dataCentres;
    /// The last accepted changes, newest last.
    std::vector<ManifestApply> recent;
    /// Objects that are no longer referenced and will be removed by a later apply, oldest first.
    std::vector<RetiredObject> retired;

    const DataCentreConfig* findDataCentre(std::string_view name) const;
    /// The version that the change with this id created, if it is still listed.
    std::optional<ConfigVersion> versionOf(std::string_view applyId) const;
};

std::optional<Manifest> parseManifest(std::string_view json);
std::string toJson(const Manifest& manifest);

/// The successor of `previous` with the given content.
Manifest nextManifest(const Manifest& previous, std::vector<ManifestService> services, std::vector<DataCentreConfig> dataCentres, const std::string& applyId);
/// The successor of `previous` for a normalised configuration.
Manifest nextManifest(const Manifest& previous, const Config& config, const std::string& applyId);

/// Removes from a manifest that is about to be written the retired objects that are old enough to be deleted, limited to one
/// batch, and returns their names.
std::vector<std::string> extractRemovableObjects(Manifest& next);

/// Name of the object that holds a service: the service's name and a hash of its JSON text.
std::string serviceObjectName(const ServiceConfig& service);

/// Parses a service object; nothing when the content does not match the hash in the object's name.
std::optional<ServiceConfig> parseServiceObject(const std::string& objectName, std::string_view json);

}
