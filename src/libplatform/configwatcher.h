#pragma once

#include "config.h"
#include "platformclient.h"

#include <functional>
#include <memory>

namespace kingcuptrail {

/// Follows the accepted configuration: reads the manifest, fetches the service objects it names that are not held yet,
/// and reports each whole configuration newer than the last. Retries by itself with back-off and jitter while the
/// platform is down.
class ConfigWatcher {
public:
    using OnConfig = std::function<void(const Config&)>;

    /// `once` stops after the first whole configuration, for agents, which hear of later ones over their links.
    ConfigWatcher(asio::io_context& context, const PlatformOptions& options, OnConfig onConfig, bool once = false);
    ~ConfigWatcher();
    ConfigWatcher(const ConfigWatcher&) = delete;
    ConfigWatcher& operator=(const ConfigWatcher&) = delete;

    PlatformError lastReason() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
