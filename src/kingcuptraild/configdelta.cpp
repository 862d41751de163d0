#include "configdelta.h"

#include <algorithm>

namespace kingcuptrail {

void ConfigHistory::record(const Config& current, const Config& previous)
{
    if (previous.version == 0)
        m_historyStart = current.version;
    for (const ServiceConfig& service : current.services) {
        const ServiceConfig* before = previous.findService(service.name);
        if (!before || *before != service)
            m_changeVersions[service.name] = current.version;
        m_removalVersions.erase(service.name);
    }
    for (const ServiceConfig& service : previous.services) {
        if (current.findService(service.name))
            continue;
        m_changeVersions.erase(service.name);
        m_removalVersions[service.name] = current.version;
    }
    if (m_removalVersions.size() > maxRemovedNames) {
        m_removalVersions.clear();
        m_historyStart = current.version;
    }
}

ConfigDelta ConfigHistory::since(ConfigVersion have, const Config& current) const
{
    if (have < m_historyStart)
        return { .base = 0, .changed = current, .removed = {} };
    ConfigDelta delta { .base = have, .changed = { .version = current.version, .services = {}, .dataCentres = current.dataCentres }, .removed = {} };
    for (const ServiceConfig& service : current.services) {
        const auto changed = m_changeVersions.find(service.name);
        if (changed != m_changeVersions.end() && changed->second > have)
            delta.changed.services.push_back(service);
    }
    for (const auto& [name, version] : m_removalVersions) {
        if (version > have)
            delta.removed.push_back(name);
    }
    return delta;
}

std::optional<Config> mergeDelta(const Config& held, const ConfigDelta& delta)
{
    if (delta.base == 0)
        return delta.changed;
    if (held.version < delta.base)
        return std::nullopt;
    std::map<std::string, ServiceConfig> services;
    for (const ServiceConfig& service : held.services)
        services[service.name] = service;
    for (const std::string& name : delta.removed)
        services.erase(name);
    for (const ServiceConfig& service : delta.changed.services)
        services[service.name] = service;
    Config merged { .version = delta.changed.version, .services = {}, .dataCentres = delta.changed.dataCentres };
    for (auto& [name, service] : services)
        merged.services.push_back(std::move(service));
    return merged;
}

std::vector<ConfigDelta> splitDelta(const ConfigDelta& delta, std::size_t servicesPerPart)
{
    std::vector<ConfigDelta> parts;
    const std::vector<ServiceConfig>& services = delta.changed.services;
    std::size_t begin = 0;
    do {
        const std::size_t end = std::min(begin + servicesPerPart, services.size());
        ConfigDelta part { .base = delta.base, .changed = { .version = delta.changed.version, .services = {}, .dataCentres = delta.changed.dataCentres }, .removed = {} };
        part.changed.services.assign(services.begin() + static_cast<std::ptrdiff_t>(begin), services.begin() + static_cast<std::ptrdiff_t>(end));
        if (begin == 0)
            part.removed = delta.removed;
        parts.push_back(std::move(part));
        begin = end;
    } while (begin < services.size());
    return parts;
}

}
