#pragma once

#include "delay.h"
#include "platformclient.h"

#include <memory>

namespace kingcuptrail {

/// Follows every object of one kind: lists them, then watches, and lists again when the store has dropped the history
/// between; or, with an interval, lists them again and again, which tells nothing of what was removed. Tries for ever; what
/// was last told stands meanwhile.
class KindWatcher {
public:
    struct Handlers {
        /// All objects of the kind as of the list's version.
        std::function<void(const ObjectList&)> onList;
        /// What changed up to the list's version, in order; an object without a value was removed.
        std::function<void(const ObjectList&)> onChanges;
        /// A call failed; called each time.
        std::function<void(PlatformError)> onTrouble;
    };

    /// `pollInterval` in milliseconds; 0 means to watch.
    KindWatcher(asio::io_context& context, const PlatformOptions& options, std::string kind, Handlers handlers, Millis pollInterval = 0);

    /// Drops what it waits for and lists anew: what was waited for before may never be answered.
    void restart();

    /// Whether the last call succeeded; what was told is then as new as the store, or as one interval.
    bool isCurrent() const { return m_since && m_lastReason == PlatformError::None; }

    PlatformError lastReason() const { return m_lastReason; }
    std::uint64_t callsMade() const { return m_client.callsMade(); }

private:
    void list();
    void watch();
    void retry(PlatformError reason);

    std::string m_kind;
    Handlers m_handlers;
    PlatformClient m_client;
    Delay m_delay;
    Backoff m_backoff;
    Millis m_pollInterval;
    std::optional<ObjectVersion> m_since;
    PlatformError m_lastReason = PlatformError::None;
};

}
