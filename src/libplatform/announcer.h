#pragma once

#include "platformclient.h"
#include "presence.h"

#include <functional>
#include <memory>

namespace kingcuptrail {

/// Announces one upstream under a lease and keeps it renewed. The incarnation is given out by the conditional update of
/// the presence object: one more than the object held before. Renewals write a separate object of kind `lease`, so that
/// they wake no watch. Retries by itself while the platform is down.
class Announcer {
public:
    struct Handlers {
        /// The announcement stands; the presence carries the incarnation that was given out.
        std::function<void(const Presence&)> onAnnounced;
        /// Another process has announced the same upstream later: this one must take no new work.
        std::function<void(const OwnerToken& newer)> onFenced;
    };

    /// `wanted.token.incarnation` is ignored.
    Announcer(asio::io_context& context, const PlatformOptions& options, Presence wanted, Handlers handlers);
    ~Announcer();
    Announcer(const Announcer&) = delete;
    Announcer& operator=(const Announcer&) = delete;

    /// Writes a new state, draining for example, as soon as the platform takes it.
    void setState(MemberState state);

    /// Removes the announcement; `done` is called when it is gone, or given up after `limit` milliseconds.
    void withdraw(Millis limit, std::function<void()> done);

    PlatformError lastReason() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
