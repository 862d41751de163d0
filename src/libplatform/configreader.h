#pragma once

#include "manifest.h"
#include "platformclient.h"

#include <functional>
#include <map>

namespace kingcuptrail {

/// Assembles the configuration that a manifest describes: fetches the service objects that are not cached and caches them for
/// the next manifest. The client must outlive it.
class ConfigReader {
public:
    using Handler = std::function<void(std::optional<Config>, PlatformError)>;

    explicit ConfigReader(PlatformClient& client);

    /// Must not be called again before the handler was called. NotFound means that a service object was removed because a later
    /// manifest replaced this one: the manifest must be read again.
    void read(Manifest manifest, Handler handler);

private:
    void fetchNext();
    void fetchAll();
    void cacheService(const PlatformObject& object);
    std::vector<std::string> missingObjects() const;
    void finish();
    void fail(PlatformError error);

    PlatformClient& m_client;
    Manifest m_manifest;
    Handler m_handler;
    std::map<std::string, ServiceConfig> m_cachedServices;
};

}
