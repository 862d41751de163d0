#pragma once

#include "configdelta.h"
#include "libplatform/config.h"
#include "libprotocol/framing.h"

#include <functional>
#include <vector>

namespace kingcuptrail {

/// Holds the configuration in force in this process. New versions arrive from the platform and from peers, in any order.
class ActiveConfig {
public:
    using Listener = std::function<void(const Config& current, const Config& previous)>;

    void addListener(Listener listener);

    /// Puts a configuration in force if it is newer than the one held; false otherwise. Watches, peers and retries deliver
    /// versions out of order, and an older one could return a data centre to service that was taken out.
    bool applyIfNewer(Config config);

    /// The frames that bring a peer from `have` to the version in force; none when it is not behind.
    std::vector<Bytes> snapshotFor(ConfigVersion have) const;

    /// Adds one part of a peer's snapshot. The configuration is put in force when the last missing part arrives.
    void receiveSnapshotPart(const wire::ConfigSnapshot& snapshot);

    /// Whether to fetch the configuration from a peer that is ahead; true at most once in a fixed interval. Many peers
    /// announce a new version at the same time, and one answer is enough. The fetch is repeated after the interval in case
    /// the peer fails before it answers.
    bool tryStartFetch(Millis now);

    const Config& current() const { return m_current; }
    ConfigVersion version() const { return m_current.version; }
    std::uint64_t olderIgnored() const { return m_olderIgnored; }

private:
    /// Parts of one snapshot, received from one or more peers. All peers send the same parts for a version and base.
    struct PartialSnapshot {
        ConfigDelta delta;
        std::vector<bool> hasPart;
    };

    Config m_current;
    ConfigHistory m_history;
    PartialSnapshot m_partialSnapshot;
    std::vector<Listener> m_listeners;
    Millis m_fetchedAt = -1;
    std::uint64_t m_olderIgnored = 0;
};

}
