#pragma once

#include "delay.h"
#include "platformclient.h"

#include <memory>

namespace kingcuptrail {

/// Watches all objects of one kind: lists them, then watches for changes, and lists again when the store no longer has the
/// history since the last change. With a poll interval it lists periodically instead; removed objects are then only missing
/// from the list. Retries without limit; until a retry succeeds, the last reported objects remain valid.
class KindWatcher {
public:
    struct Handlers {
        /// Called with all objects of the kind as of the list's version.
        std::function<void(const ObjectList&)> onList;
        /// Called with the changes up to the list's version, in order; an object without a value was removed.
        std::function<void(const ObjectList&)> onChanges;
        /// Called for every failed call.
        std::function<void(PlatformError)> onError;
    };

    /// `pollInterval` in milliseconds; 0 means to watch instead of polling.
    KindWatcher(asio::io_context& context, const PlatformOptions& options, std::string kind, Handlers handlers, Millis pollInterval = 0);

    /// Cancels the pending call, which may never get a response, and lists again.
    void restart();

    /// Whether the last call succeeded. The reported objects are then up to date, or at most one poll interval old.
    bool isCurrent() const { return m_since && m_lastError == PlatformError::None; }

    /// The version that the last answer reflects; 0 before the first one.
    ObjectVersion version() const { return m_since.value_or(0); }

    PlatformError lastError() const { return m_lastError; }
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
    PlatformError m_lastError = PlatformError::None;
};

}
