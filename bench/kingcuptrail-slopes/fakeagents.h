#pragma once

#include "kingcuptraild/activeconfig.h"
#include "kingcuptraild/listener.h"
#include "kingcuptraild/peerlink.h"
#include "libplatform/announcer.h"

#include <memory>
#include <vector>

namespace kingcuptrail {

/// Many simulated agents in one process. Each announces itself under a lease, accepts the balancer's link, sends
/// heartbeats and follows the configuration. They own no flows.
class FakeAgents {
public:
    FakeAgents(asio::io_context& context, const PlatformOptions& platform, std::size_t count, std::size_t services);

    /// Number of agents whose link to the balancer is up.
    std::size_t linked() const;
    /// Number of agents that have this configuration or a newer one in force.
    std::size_t countAtVersion(ConfigVersion version) const;
    /// Bytes sent and received over all links so far.
    std::uint64_t linkBytes() const;

private:
    struct FakeAgent {
        Presence presence;
        ActiveConfig config;
        std::unique_ptr<Listener> listener;
        std::unique_ptr<Announcer> announcer;
        std::shared_ptr<PeerLink> link;
        std::uint64_t closedLinkBytes = 0;
    };

    void accept(FakeAgent& agent, std::shared_ptr<Link> link);

    asio::io_context& m_context;
    std::vector<std::unique_ptr<FakeAgent>> m_agents;
};

/// The name of a service of the measured configuration.
std::string fakeServiceName(std::size_t number);

/// A configuration with this many services in one data centre. `slots` applies to the first service; a change of
/// configuration changes this value only.
Config fakeConfig(std::size_t services, std::uint32_t slots);

}
