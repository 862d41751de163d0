#pragma once

#include "libdecision/directory.h"
#include "libplatform/delay.h"
#include "libplatform/platformclient.h"

namespace kingcuptrail {

struct AnnouncementOptions {
    /// How long after a possibly stale read the entry is read once more, in milliseconds. Longer than the age of the store's
    /// stale answers, which is some seconds.
    Millis rereadDelay = 15000;
};

/// Keeps one agent's directory entry in the store, where balancers that start later find it. The store sees one write when
/// the agent starts and one when it leaves; state that changes often is sent from process to process instead. Failed calls
/// are retried without limit.
class AgentAnnouncement {
public:
    AgentAnnouncement(asio::io_context& context, const PlatformOptions& platform, const AnnouncementOptions& options = {});

    /// Writes the entry, unless the store already has one that differs in its epoch only.
    void write(const PeerEntry& entry);
    /// Removes the entry of this name, whichever process wrote it, and calls `done` once it is removed. Retries without
    /// limit. An entry passed to write() in the meantime is written after the removal.
    void withdraw(const std::string& name, std::function<void()> done);

    /// Reads the entry of this name that another process may have written. The read may be stale and miss an entry that was
    /// written in the last few seconds.
    void find(const std::string& name);

    /// Sets the handler that receives an entry that another process has written under the same name.
    void setOnFound(std::function<void(const PeerEntry&)> onFound) { m_onFound = std::move(onFound); }

    std::uint64_t callsMade() const { return m_client.callsMade(); }

private:
    void startWrite();
    void put();
    void read(ReadFreshness freshness);
    void keepStoredEntry(ReadFreshness freshness);
    void retryPut(PlatformError reason);
    void readAndRemove();
    void remove(ObjectVersion version);
    void retryLater(PlatformError reason, std::string_view call, std::function<void()> retry);
    void finishWithdrawal();

    AnnouncementOptions m_options;
    PlatformClient m_client;
    Delay m_delay;
    Backoff m_backoff;
    std::optional<PeerEntry> m_entry;
    std::function<void(const PeerEntry&)> m_onFound;
    std::string m_withdrawnName;
    std::function<void()> m_onWithdrawn;
    ObjectVersion m_version = 0;
    bool m_isBusy = false;
    bool m_isWritten = false;
    /// A stale read is no longer followed by a second read: the second read is already scheduled, or this process has
    /// removed the entry itself and a stale read could still return it.
    bool m_isStaleReadDone = false;
};

}
