#pragma once

#include "config.h"

#include <optional>
#include <string>
#include <vector>

namespace kingcuptrail {

/// Kinds and names of the configuration's objects in the platform.
inline const std::string manifestKind = "manifest";
inline const std::string manifestName = "current";
inline const std::string serviceObjectKind = "serviceconfig";

/// How many accepted applies a manifest remembers. An operator whose answer was lost finds his own among them, also
/// when others were accepted since; 32 outlast any retry at four thousand changes a day.
constexpr std::size_t rememberedApplies = 32;

/// How many manifests later an object that none of them names is removed. A daemon that reads an older manifest than
/// that finds the object gone and reads the manifest again; the number only spares it the second reading.
constexpr ConfigVersion keptManifests = 8;

/// Load: a change of all two thousand services at once. Harm: removing as many old objects would hold the operator up
/// and take the platform's writes. Limit: a batch for each apply, well above the few objects that an ordinary apply
/// retires, so that the rest is worked off by the next ones.
constexpr std::size_t removedAtOnce = 32;

/// Retired objects that a manifest remembers; beyond it the oldest are left in the platform, so that the manifest stays
/// far below the platform's limit of a megabyte.
constexpr std::size_t rememberedRetired = 4000;

struct ManifestService {
    std::string name;
    /// The immutable object that holds the service; its name changes with its content.
    std::string object;

    bool operator==(const ManifestService&) const = default;
};

struct ManifestApply {
    std::string applyId;
    ConfigVersion version = 0;
};

/// An object that no manifest has named since this version.
struct ManifestRetired {
    std::string object;
    ConfigVersion since = 0;
};

/// The accepted configuration: one small object, replaced by one conditional write, that names all the others.
struct Manifest {
    ConfigVersion version = 0;
    std::string applyId;
    std::vector<ManifestService> services;
    std::vector<DataCentreConfig> dataCentres;
    /// The last accepted applies, newest last.
    std::vector<ManifestApply> recent;
    /// Objects to be removed some manifests later, oldest first.
    std::vector<ManifestRetired> retired;

    const DataCentreConfig* findDataCentre(std::string_view name) const;
    /// The version that an apply was accepted as, if it is remembered.
    std::optional<ConfigVersion> versionOf(std::string_view applyId) const;
};

std::optional<Manifest> parseManifest(std::string_view json);
std::string toJson(const Manifest& manifest);

/// The manifest that follows `previous`.
Manifest nextManifest(const Manifest& previous, std::vector<ManifestService> services, std::vector<DataCentreConfig> dataCentres, const std::string& applyId);
/// The same for a normalised configuration.
Manifest nextManifest(const Manifest& previous, const Config& config, const std::string& applyId);

/// Takes out of a manifest that is to be written the retired objects that are old enough to be removed, a batch at most.
std::vector<std::string> takeRemovable(Manifest& next);

/// Name of the object that holds a service: the service's name and the hash of its content.
std::string serviceObjectName(const ServiceConfig& service);

/// Reads a service's object; nothing when its content does not match its name.
std::optional<ServiceConfig> parseServiceObject(const std::string& objectName, std::string_view json);

}
