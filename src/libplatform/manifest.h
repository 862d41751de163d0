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

/// The accepted configuration: one small object, replaced by one conditional write, that names all the others.
struct Manifest {
    ConfigVersion version = 0;
    std::string applyId;
    std::vector<ManifestService> services;
    std::vector<DataCentreConfig> dataCentres;
    /// The last accepted applies, newest last.
    std::vector<ManifestApply> recent;

    const DataCentreConfig* findDataCentre(std::string_view name) const;
    /// The version that an apply was accepted as, if it is remembered.
    std::optional<ConfigVersion> versionOf(std::string_view applyId) const;
};

std::optional<Manifest> parseManifest(std::string_view json);
std::string toJson(const Manifest& manifest);

/// The manifest of a normalised configuration that follows `previous`.
Manifest nextManifest(const Manifest& previous, const Config& config, const std::string& applyId);

/// Name of the object that holds a service: the service's name and the hash of its content.
std::string serviceObjectName(const ServiceConfig& service);

/// Reads a service's object; nothing when its content does not match its name.
std::optional<ServiceConfig> parseServiceObject(const std::string& objectName, std::string_view json);

}
