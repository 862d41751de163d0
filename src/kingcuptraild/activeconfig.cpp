#include "activeconfig.h"

#include "libdecision/configorder.h"
#include "libruntime/events.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// A service needs up to about 500 bytes of JSON, so a part stays below half of the frame limit.
    constexpr std::size_t servicesPerPart = 200;

    /// Limit for the parts of a snapshot, above the number that a configuration of the platform's largest object needs.
    constexpr std::uint32_t maxParts = 1024;

    /// Wait for the answer to a fetch before another peer may be asked, in milliseconds.
    constexpr Millis fetchRetryInterval = 500;

}

void ActiveConfig::addListener(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

bool ActiveConfig::applyIfNewer(Config config)
{
    if (!supersedes(m_current.version, config.version)) {
        if (config.version < m_current.version) {
            ++m_olderIgnored;
            logEvent(Event::ConfigOlderIgnored, { { "held", m_current.version }, { "offered", config.version } });
        }
        return false;
    }
    const Config previous = std::move(m_current);
    m_current = std::move(config);
    m_history.record(m_current, previous);
    logEvent(Event::ConfigInForce, { { "version", m_current.version }, { "previous", previous.version } });
    for (const Listener& listener : m_listeners)
        listener(m_current, previous);
    return true;
}

std::vector<Bytes> ActiveConfig::snapshotFor(ConfigVersion have) const
{
    std::vector<Bytes> frames;
    if (have >= m_current.version)
        return frames;
    const std::vector<ConfigDelta> parts = splitDelta(m_history.since(have, m_current), servicesPerPart);
    for (std::size_t index = 0; index < parts.size(); ++index) {
        wire::ConfigSnapshotT snapshot;
        snapshot.version = m_current.version;
        snapshot.base = parts[index].base;
        snapshot.part = static_cast<std::uint32_t>(index);
        snapshot.parts = static_cast<std::uint32_t>(parts.size());
        snapshot.document = toJson(parts[index].changed);
        snapshot.removed = parts[index].removed;
        frames.push_back(encodeFrameOf(std::move(snapshot)));
    }
    return frames;
}

void ActiveConfig::receiveSnapshotPart(const wire::ConfigSnapshot& snapshot)
{
    if (!snapshot.document() || snapshot.version() <= m_current.version || snapshot.part() >= snapshot.parts() || snapshot.parts() > maxParts)
        return;
    std::vector<Fault> faults;
    const auto part = parseConfig(snapshot.document()->string_view(), faults);
    if (!part)
        return;
    const bool isSameSnapshot = m_partialSnapshot.delta.changed.version == snapshot.version() && m_partialSnapshot.delta.base == snapshot.base() && m_partialSnapshot.hasPart.size() == snapshot.parts();
    if (!isSameSnapshot) {
        m_partialSnapshot = {};
        m_partialSnapshot.delta.base = snapshot.base();
        m_partialSnapshot.hasPart.resize(snapshot.parts());
    }
    if (m_partialSnapshot.hasPart[snapshot.part()])
        return;
    m_partialSnapshot.hasPart[snapshot.part()] = true;
    Config& changed = m_partialSnapshot.delta.changed;
    changed.version = snapshot.version();
    changed.dataCentres = part->dataCentres;
    changed.services.insert(changed.services.end(), part->services.begin(), part->services.end());
    if (snapshot.removed()) {
        for (const flatbuffers::String* name : *snapshot.removed())
            m_partialSnapshot.delta.removed.push_back(name->str());
    }
    if (std::find(m_partialSnapshot.hasPart.begin(), m_partialSnapshot.hasPart.end(), false) != m_partialSnapshot.hasPart.end())
        return;
    auto merged = mergeDelta(m_current, m_partialSnapshot.delta);
    m_partialSnapshot = {};
    if (merged)
        applyIfNewer(std::move(*merged));
}

bool ActiveConfig::tryStartFetch(Millis now)
{
    if (m_fetchedAt >= 0 && now - m_fetchedAt < fetchRetryInterval)
        return false;
    m_fetchedAt = now;
    return true;
}

}
