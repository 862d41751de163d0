#include "configreader.h"

namespace kingcuptrail {

namespace {

    /// Maximum number of service objects that are read individually; if more are missing, one call lists all objects of the
    /// kind. That transfers more bytes but takes a constant number of calls: when seven hundred daemons start, or many services
    /// change at once, individual reads of two thousand services each would keep the platform busy for minutes.
    constexpr std::size_t maxSingleReads = 8;

}

ConfigReader::ConfigReader(PlatformClient& client)
    : m_client(client)
{
}

void ConfigReader::read(Manifest manifest, Handler handler)
{
    m_manifest = std::move(manifest);
    m_handler = std::move(handler);
    if (missingObjects().size() > maxSingleReads)
        fetchAll();
    else
        fetchNext();
}

void ConfigReader::fetchNext()
{
    const auto missing = missingObjects();
    if (missing.empty()) {
        finish();
        return;
    }
    const std::string& name = missing.front();
    m_client.get(serviceObjectKind, name, [this, name](const std::optional<PlatformObject>& object, PlatformError error) {
        if (!object) {
            fail(error);
            return;
        }
        cacheService(*object);
        if (m_cachedServices.contains(name))
            fetchNext();
        else
            fail(PlatformError::BadAnswer);
    });
}

void ConfigReader::fetchAll()
{
    m_client.list(serviceObjectKind, [this](const std::optional<ObjectList>& list, PlatformError error) {
        if (!list) {
            fail(error);
            return;
        }
        for (const PlatformObject& object : list->objects)
            cacheService(object);
        fetchNext();
    });
}

void ConfigReader::cacheService(const PlatformObject& object)
{
    if (!object.value)
        return;
    if (auto service = parseServiceObject(object.name, *object.value))
        m_cachedServices.insert_or_assign(object.name, std::move(*service));
}

std::vector<std::string> ConfigReader::missingObjects() const
{
    std::vector<std::string> missing;
    for (const ManifestService& service : m_manifest.services) {
        if (!m_cachedServices.contains(service.object))
            missing.push_back(service.object);
    }
    return missing;
}

void ConfigReader::finish()
{
    Config config { .version = m_manifest.version, .services = {}, .dataCentres = m_manifest.dataCentres };
    std::map<std::string, ServiceConfig> used;
    for (const ManifestService& service : m_manifest.services) {
        const ServiceConfig& cached = m_cachedServices.at(service.object);
        config.services.push_back(cached);
        used.emplace(service.object, cached);
    }
    m_cachedServices = std::move(used);
    const Handler handler = std::move(m_handler);
    handler(std::move(config), PlatformError::None);
}

void ConfigReader::fail(PlatformError error)
{
    const Handler handler = std::move(m_handler);
    handler(std::nullopt, error);
}

}
