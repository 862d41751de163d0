#include "agentannouncement.h"

#include "libplatform/peerentryjson.h"
#include "libruntime/events.h"
#include "storefollower.h"

#include <utility>

namespace kingcuptrail {

namespace {

    bool equalsIgnoringEpoch(PeerEntry first, const PeerEntry& second)
    {
        first.epoch = second.epoch;
        return first == second;
    }

}

AgentAnnouncement::AgentAnnouncement(asio::io_context& context, const PlatformOptions& platform, const AnnouncementOptions& options)
    : m_options(options)
    , m_client(context, platform)
    , m_delay(context)
    , m_backoff(platform.minRetryDelay, platform.maxRetryDelay)
{
}

void AgentAnnouncement::write(const PeerEntry& entry)
{
    m_entry = entry;
    m_isWritten = false;
    if (!m_isBusy && m_withdrawnName.empty())
        startWrite();
}

// After a restart beside a running upstream the store usually has the entry already, and when all agents restart together
// they all check at once. A read that may be stale costs the store a fraction of a write that fails with a conflict.
void AgentAnnouncement::startWrite()
{
    if (m_version == 0 && !m_isStaleReadDone)
        read(ReadFreshness::MayBeStale);
    else
        put();
}

void AgentAnnouncement::find(const std::string& name)
{
    m_client.get(
        agentKind, name, [this](const std::optional<PlatformObject>& object, PlatformError reason) {
            const auto found = object ? parseStoredEntry(*object) : std::nullopt;
            if (found && m_onFound)
                m_onFound(*found);
            if (!object && reason != PlatformError::NotFound)
                logEvent(Event::PlatformTrouble, { { "reason", nameOf(reason) }, { "call", "find" } });
        },
        ReadFreshness::MayBeStale);
}

void AgentAnnouncement::put()
{
    m_isBusy = true;
    const PeerEntry written = *m_entry;
    m_client.put(agentKind, written.name, toJson(written), m_version, [this, written](const std::optional<ObjectVersion>& version, PlatformError reason) {
        m_isBusy = false;
        if (version) {
            m_version = *version;
            m_backoff.reset();
            m_isWritten = written == *m_entry;
            logEvent(Event::Announced, { { "peer", written.name }, { "epoch", written.epoch }, { "revision", *version } });
            if (!m_isWritten)
                put();
        } else if (reason == PlatformError::Conflict || reason == PlatformError::NotFound) {
            read(ReadFreshness::Current);
        } else {
            retryPut(reason);
        }
    });
}

// Reads the entry before it is written: an earlier process of this agent may have written it, or a put() of this process
// whose answer was lost.
void AgentAnnouncement::read(ReadFreshness freshness)
{
    m_isBusy = true;
    m_client.get(
        agentKind, m_entry->name, [this, freshness](const std::optional<PlatformObject>& object, PlatformError reason) {
            m_isBusy = false;
            if (!object && reason != PlatformError::NotFound) {
                retryPut(reason);
                return;
            }
            m_version = object ? object->version : 0;
            const auto found = object ? parseStoredEntry(*object) : std::nullopt;
            if (found && found->epoch >= m_entry->epoch) {
                m_entry->epoch = found->epoch + 1;
                if (m_onFound)
                    m_onFound(*found);
            }
            if (m_isBusy)
                return;
            // The stored entry differs in its epoch only. Processes exchange epochs directly, so it needs no write.
            if (found && equalsIgnoringEpoch(*found, *m_entry))
                keepStoredEntry(freshness);
            else
                put();
        },
        freshness);
}

// Keeps the entry that the store has. After a stale read it is read once more, because the previous process of this agent
// may have removed it a moment before.
void AgentAnnouncement::keepStoredEntry(ReadFreshness freshness)
{
    m_isWritten = true;
    if (freshness == ReadFreshness::Current || std::exchange(m_isStaleReadDone, true))
        return;
    m_delay.start(m_options.rereadDelay, [this] {
        if (!m_isBusy && m_withdrawnName.empty())
            read(ReadFreshness::MayBeStale);
    });
}

void AgentAnnouncement::retryPut(PlatformError reason)
{
    retryLater(reason, "announcement", [this] {
        if (!m_isBusy && !m_isWritten)
            put();
    });
}

void AgentAnnouncement::retryLater(PlatformError reason, std::string_view call, std::function<void()> retry)
{
    logEvent(Event::PlatformTrouble, { { "reason", nameOf(reason) }, { "call", call } });
    m_delay.start(m_backoff.next(), std::move(retry));
}

void AgentAnnouncement::withdraw(const std::string& name, std::function<void()> done)
{
    m_delay.cancel();
    m_client.cancelAll();
    m_isBusy = false;
    m_isWritten = true;
    m_withdrawnName = name;
    m_onWithdrawn = std::move(done);
    if (m_version != 0)
        remove(m_version);
    else
        readAndRemove();
}

// The entry may be that of an earlier process of this agent, or of a write of this process whose answer was lost. If it
// stayed in the store, every process that starts later would count on an agent that is gone.
void AgentAnnouncement::readAndRemove()
{
    m_client.get(agentKind, m_withdrawnName, [this](const std::optional<PlatformObject>& object, PlatformError reason) {
        if (object)
            remove(object->version);
        else if (reason == PlatformError::NotFound)
            finishWithdrawal();
        else
            retryLater(reason, "withdrawal", [this] { readAndRemove(); });
    });
}

// An entry that was passed to write() during the withdrawal is written now.
void AgentAnnouncement::finishWithdrawal()
{
    m_withdrawnName.clear();
    m_version = 0;
    m_isStaleReadDone = true;
    m_onWithdrawn();
    if (!m_isWritten)
        put();
}

void AgentAnnouncement::remove(ObjectVersion version)
{
    m_client.remove(agentKind, m_withdrawnName, version, [this](const std::optional<ObjectVersion>&, PlatformError reason) {
        if (reason == PlatformError::None || reason == PlatformError::NotFound)
            finishWithdrawal();
        else
            retryLater(reason, "withdrawal", [this] { readAndRemove(); });
    });
}

}
