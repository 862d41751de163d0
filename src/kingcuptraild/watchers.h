#pragma once

#include "libplatform/configwatcher.h"
#include "libplatform/presencewatcher.h"
#include "rolecontext.h"

namespace kingcuptrail {

/// Feeds the process's configuration from the platform.
class ConfigFollower : public Supervised {
public:
    enum class Mode : std::uint8_t {
        Follow,
        /// Only the first one; later ones come from peers.
        Once,
    };

    ConfigFollower(const RoleContext& role, Mode mode)
        : m_watcher(
            role.context, role.platform, [&config = role.config](const Config& next) { config.offer(next); }, mode == Mode::Once)
    {
    }

private:
    ConfigWatcher m_watcher;
};

/// Feeds the announcements of all agents.
class PresenceFollower : public Supervised {
public:
    PresenceFollower(const RoleContext& role, PresenceWatcher::OnPresence onPresence, PresenceWatcher::IsInDoubt isInDoubt)
        : m_watcher(role.context, role.platform, std::move(onPresence), std::move(isInDoubt))
    {
    }

    PlatformError lastReason() const { return m_watcher.lastReason(); }

private:
    PresenceWatcher m_watcher;
};

}
