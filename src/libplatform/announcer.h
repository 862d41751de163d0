#pragma once

#include "platformclient.h"
#include "presence.h"

#include <functional>
#include <memory>

namespace kingcuptrail {

/// Announces one upstream in the platform and renews its lease. The incarnation is allocated by a conditional update of the
/// presence object: one more than the highest incarnation found there or in the lease. Renewals write a separate object of
/// kind `lease`, so that they do not complete watches of the presence objects. Retries while the platform is unavailable.
class Announcer {
public:
    struct Handlers {
        /// The announcement was written; the presence holds the allocated incarnation.
        std::function<void(const Presence&)> onAnnounced;
        /// Another process has announced the same upstream with a larger incarnation: this process must accept no new work.
        std::function<void(const OwnerToken& newer)> onFenced;
    };

    /// `wanted.token.incarnation` is ignored.
    Announcer(asio::io_context& context, const PlatformOptions& options, Presence wanted, Handlers handlers);
    ~Announcer();
    Announcer(const Announcer&) = delete;
    Announcer& operator=(const Announcer&) = delete;

    /// Announces a new state, such as draining. The write is retried until the platform accepts it.
    void setState(MemberState state);

    /// Removes the announcement. Calls `done` when it is removed, or after `limit` milliseconds without success.
    void withdraw(Millis limit, std::function<void()> done);

    PlatformError lastError() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
