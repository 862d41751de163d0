#pragma once

#include "configdelta.h"
#include "libplatform/config.h"
#include "libprotocol/framing.h"

#include <functional>
#include <vector>

namespace kingcuptrail {

/// Holds the configuration in force in this process. News of it comes from the platform and from any peer, in any order.
class ConfigKeeper {
public:
    using Listener = std::function<void(const Config& current, const Config& previous)>;

    void addListener(Listener listener);

    /// Puts a configuration in force if it is newer than the one held. Watches, peers and retries deliver versions out of
    /// order; taking an older one would show as a data centre that comes back by itself.
    bool offer(Config config);

    /// The frames that bring a peer from `have` to the version in force; none when it is not behind.
    std::vector<Bytes> snapshotFor(ConfigVersion have) const;

    /// Takes one frame of a peer's snapshot; the configuration changes when all its parts are there.
    void takeSnapshot(const wire::ConfigSnapshot& snapshot);

    /// Whether a peer that is ahead should be asked now: many peers name a new version at the same time, and one
    /// answer is enough. Asking again after a pause guards against a peer that dies before it answers.
    bool mayFetch(Millis now);

    const Config& current() const { return m_current; }
    ConfigVersion version() const { return m_current.version; }
    std::uint64_t olderIgnored() const { return m_olderIgnored; }

private:
    /// Parts of one snapshot that have come from one peer or several; all of a version are alike.
    struct Assembly {
        ConfigDelta delta;
        std::vector<bool> hasPart;
    };

    Config m_current;
    ConfigHistory m_history;
    Assembly m_assembly;
    std::vector<Listener> m_listeners;
    Millis m_fetchedAt = -1;
    std::uint64_t m_olderIgnored = 0;
};

}
