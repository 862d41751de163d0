#pragma once

#include "libplatform/configwatcher.h"
#include "libplatform/presencewatcher.h"
#include "rolecontext.h"

namespace kingcuptrail {

/// Supervised watcher that updates the process's configuration from the platform.
class SupervisedConfigWatcher : public Supervised {
public:
    enum class Mode : std::uint8_t {
        Follow,
        /// Stops after the first configuration; later ones come from peers.
        Once,
    };

    SupervisedConfigWatcher(const RoleContext& role, Mode mode)
        : m_watcher(
            role.context, role.platform, [&config = role.config](const Config& next) { config.applyIfNewer(next); }, mode == Mode::Once)
    {
    }

private:
    ConfigWatcher m_watcher;
};

/// Supervised watcher that reports the announcements of all agents.
class SupervisedPresenceWatcher : public Supervised {
public:
    SupervisedPresenceWatcher(const RoleContext& role, PresenceWatcher::OnPresence onPresence, PresenceWatcher::NeedsLeaseCheck needsLeaseCheck)
        : m_watcher(role.context, role.platform, std::move(onPresence), std::move(needsLeaseCheck))
    {
    }

    PlatformError lastError() const { return m_watcher.lastError(); }

private:
    PresenceWatcher m_watcher;
};

}
