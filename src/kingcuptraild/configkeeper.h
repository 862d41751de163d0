#pragma once

#include "libplatform/config.h"

#include <functional>
#include <string>
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

    /// The same for a document from a peer; false also when it cannot be read.
    bool offerDocument(std::string_view document);

    const Config& current() const { return m_current; }
    ConfigVersion version() const { return m_current.version; }
    const std::string& document() const { return m_document; }
    std::uint64_t olderIgnored() const { return m_olderIgnored; }

private:
    Config m_current;
    std::string m_document;
    std::vector<Listener> m_listeners;
    std::uint64_t m_olderIgnored = 0;
};

}
