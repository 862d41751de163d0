#pragma once

#include "delay.h"
#include "platformclient.h"

#include <memory>

namespace kingcuptrail {

/// Follows every object of one kind: lists them, then watches; lists again when the store has dropped the history between.
/// Tries for ever; what was last told stands meanwhile.
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

    KindWatcher(asio::io_context& context, const PlatformOptions& options, std::string kind, Handlers handlers);

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
    std::optional<ObjectVersion> m_since;
    PlatformError m_lastReason = PlatformError::None;
};

}
