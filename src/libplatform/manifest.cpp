#include "manifest.h"

#include "jsontext.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <xxhash.h>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    Manifest manifestFromJson(const json& document)
    {
        Manifest manifest;
        manifest.version = numberField<ConfigVersion>(document, "version");
        manifest.applyId = document.at("applyId").get<std::string>();
        for (const json& service : document.at("services"))
            manifest.services.push_back({ .name = service.at("name").get<std::string>(), .object = service.at("object").get<std::string>() });
        for (const json& dataCentre : document.at("dataCentres"))
            manifest.dataCentres.push_back({ .name = dataCentre.at("name").get<std::string>(), .out = dataCentre.at("out").get<bool>() });
        for (const json& apply : document.at("recent"))
            manifest.recent.push_back({ .applyId = apply.at("applyId").get<std::string>(), .version = numberField<ConfigVersion>(apply, "version") });
        for (const json& retired : document.value("retired", json::array()))
            manifest.retired.push_back({ .object = retired.at("object").get<std::string>(), .since = numberField<ConfigVersion>(retired, "since") });
        return manifest;
    }

    std::set<std::string_view> referencedObjects(const Manifest& manifest)
    {
        std::set<std::string_view> objects;
        for (const ManifestService& service : manifest.services)
            objects.insert(service.object);
        return objects;
    }

    /// The objects already retired that `next` does not reference again, and those that `previous` references and `next` does not.
    std::vector<RetiredObject> computeRetiredObjects(const Manifest& previous, const Manifest& next)
    {
        const auto referenced = referencedObjects(next);
        std::vector<RetiredObject> retired;
        for (const RetiredObject& before : previous.retired) {
            if (!referenced.contains(before.object))
                retired.push_back(before);
        }
        for (const ManifestService& service : previous.services) {
            if (!referenced.contains(service.object))
                retired.push_back({ .object = service.object, .since = next.version });
        }
        if (retired.size() > maxRetiredObjects)
            retired.erase(retired.begin(), retired.end() - maxRetiredObjects);
        return retired;
    }

}

const DataCentreConfig* Manifest::findDataCentre(std::string_view name) const
{
    const auto found = std::find_if(dataCentres.begin(), dataCentres.end(),
        [name](const DataCentreConfig& dataCentre) { return dataCentre.name == name; });
    return found == dataCentres.end() ? nullptr : &*found;
}

std::optional<ConfigVersion> Manifest::versionOf(std::string_view id) const
{
    for (const ManifestApply& apply : recent) {
        if (apply.applyId == id)
            return apply.version;
    }
    return std::nullopt;
}

std::optional<Manifest> parseManifest(std::string_view text)
{
    const json document = parseJson(text);
    if (document.is_discarded())
        return std::nullopt;
    try {
        return manifestFromJson(document);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string toJson(const Manifest& manifest)
{
    json services = json::array();
    for (const ManifestService& service : manifest.services)
        services.push_back({ { "name", service.name }, { "object", service.object } });
    json dataCentres = json::array();
    for (const DataCentreConfig& dataCentre : manifest.dataCentres)
        dataCentres.push_back({ { "name", dataCentre.name }, { "out", dataCentre.out } });
    json recent = json::array();
    for (const ManifestApply& apply : manifest.recent)
        recent.push_back({ { "applyId", apply.applyId }, { "version", apply.version } });
    json retired = json::array();
    for (const RetiredObject& one : manifest.retired)
        retired.push_back({ { "object", one.object }, { "since", one.since } });
    return json {
        { "version", manifest.version },
        { "applyId", manifest.applyId },
        { "services", services },
        { "dataCentres", dataCentres },
        { "recent", recent },
        { "retired", retired },
    }
        .dump();
}

Manifest nextManifest(const Manifest& previous, const Config& config, const std::string& applyId)
{
    std::vector<ManifestService> services;
    services.reserve(config.services.size());
    for (const ServiceConfig& service : config.services)
        services.push_back({ .name = service.name, .object = serviceObjectName(service) });
    return nextManifest(previous, std::move(services), config.dataCentres, applyId);
}

Manifest nextManifest(const Manifest& previous, std::vector<ManifestService> services, std::vector<DataCentreConfig> dataCentres, const std::string& applyId)
{
    Manifest next;
    next.version = previous.version + 1;
    next.applyId = applyId;
    next.services = std::move(services);
    next.dataCentres = std::move(dataCentres);
    next.recent = previous.recent;
    next.recent.push_back({ .applyId = applyId, .version = next.version });
    if (next.recent.size() > maxRecentApplies)
        next.recent.erase(next.recent.begin());
    next.retired = computeRetiredObjects(previous, next);
    return next;
}

std::vector<std::string> extractRemovableObjects(Manifest& next)
{
    std::vector<std::string> removable;
    while (removable.size() < maxRemovalsPerApply && removable.size() < next.retired.size() && next.retired[removable.size()].since + objectRetentionVersions <= next.version)
        removable.push_back(next.retired[removable.size()].object);
    next.retired.erase(next.retired.begin(), next.retired.begin() + static_cast<std::ptrdiff_t>(removable.size()));
    return removable;
}

std::string serviceObjectName(const ServiceConfig& service)
{
    const std::string content = toJson(service);
    std::array<char, 17> digits {};
    std::snprintf(digits.data(), digits.size(), "%016" PRIx64, static_cast<std::uint64_t>(XXH3_64bits(content.data(), content.size())));
    return service.name + "-" + digits.data();
}

std::optional<ServiceConfig> parseServiceObject(const std::string& objectName, std::string_view text)
{
    auto service = parseService(text);
    if (!service || serviceObjectName(*service) != objectName)
        return std::nullopt;
    return service;
}

}
