#pragma once

#include "platformclient.h"
#include "presence.h"

#include <functional>
#include <memory>

namespace kingcuptrail {

/// Follows all announcements. Reports the whole current set after each change. An upstream whose lease object was not
/// renewed for longer than the lease, as seen from here while the platform answers, is reported as MemberState::Lapsed;
/// while the platform is down the last set stands, since nobody could have renewed.
class PresenceWatcher {
public:
    using OnPresence = std::function<void(const std::vector<Presence>&)>;

    /// Whether an upstream's lease has to be looked at. One whose agent is heard over a link is alive whatever its lease.
    using IsInDoubt = std::function<bool(const Presence&)>;

    /// Without `isInDoubt` every lease is looked at.
    PresenceWatcher(asio::io_context& context, const PlatformOptions& options, OnPresence onPresence, IsInDoubt isInDoubt = {});
    ~PresenceWatcher();
    PresenceWatcher(const PresenceWatcher&) = delete;
    PresenceWatcher& operator=(const PresenceWatcher&) = delete;

    PlatformError lastReason() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
