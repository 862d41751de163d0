#pragma once

#include "platformclient.h"
#include "presence.h"

#include <functional>
#include <memory>

namespace kingcuptrail {

/// Watches all announcements and reports the complete set after each change. An upstream whose lease object this process has
/// not observed to be renewed for longer than the lease, while the platform responded, is reported as MemberState::Lapsed.
/// While the platform is unavailable the last set remains valid, since no agent can renew its lease then.
class PresenceWatcher {
public:
    using OnPresence = std::function<void(const std::vector<Presence>&)>;

    /// Whether an upstream's lease has to be checked. An agent that is connected over a link is alive, whatever its lease.
    using NeedsLeaseCheck = std::function<bool(const Presence&)>;

    /// Without `needsLeaseCheck` every lease is checked.
    PresenceWatcher(asio::io_context& context, const PlatformOptions& options, OnPresence onPresence, NeedsLeaseCheck needsLeaseCheck = {});
    ~PresenceWatcher();
    PresenceWatcher(const PresenceWatcher&) = delete;
    PresenceWatcher& operator=(const PresenceWatcher&) = delete;

    PlatformError lastError() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
