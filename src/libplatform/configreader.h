#pragma once

#include "manifest.h"
#include "platformclient.h"

#include <functional>
#include <map>

namespace kingcuptrail {

/// Turns a manifest into the whole configuration: fetches the service objects that are not held yet, and holds them for
/// the next time. Lives and dies with its client, whose calls it makes.
class ConfigReader {
public:
    using Handler = std::function<void(std::optional<Config>, PlatformError)>;

    explicit ConfigReader(PlatformClient& client);

    /// One reading at a time. NotFound means that a later manifest has replaced this one: read it again.
    void read(Manifest manifest, Handler handler);

private:
    void fetchNext();
    void fetchAll();
    void hold(const PlatformObject& object);
    std::vector<std::string> missingObjects() const;
    void finish();
    void fail(PlatformError error);

    PlatformClient& m_client;
    Manifest m_manifest;
    Handler m_handler;
    std::map<std::string, ServiceConfig> m_held;
};

}
