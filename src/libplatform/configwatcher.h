#pragma once

#include "config.h"
#include "platformclient.h"

#include <functional>
#include <memory>

namespace kingcuptrail {

/// Watches the accepted configuration: reads the manifest, fetches the service objects in it that are not cached, and reports
/// each complete configuration that is newer than the last one reported. Retries with backoff and jitter while the platform is
/// unavailable.
class ConfigWatcher {
public:
    using OnConfig = std::function<void(const Config&)>;

    /// `once` stops after the first configuration, for agents, which receive later ones over their links to balancers.
    ConfigWatcher(asio::io_context& context, const PlatformOptions& options, OnConfig onConfig, bool once = false);
    ~ConfigWatcher();
    ConfigWatcher(const ConfigWatcher&) = delete;
    ConfigWatcher& operator=(const ConfigWatcher&) = delete;

    PlatformError lastError() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
