#pragma once

#include "kingcuptraild/activeconfig.h"
#include "kingcuptraild/peerlink.h"

#include <memory>
#include <vector>

namespace kingcuptrail {

/// Many simulated balancers in one process. Each connects to the agent, sends heartbeats, and can open flows there.
class FakeBalancers {
public:
    FakeBalancers(asio::io_context& context, const asio::ip::tcp::endpoint& agent, std::size_t count);

    /// Opens flows, distributed over the links; the agent answers each with Opened.
    void openFlows(ServiceAddress service, std::size_t count);

    std::size_t linked() const;
    std::size_t openedFlows() const { return m_opened; }
    std::uint64_t linkBytes() const;

private:
    void dial(std::size_t number);

    asio::io_context& m_context;
    asio::ip::tcp::endpoint m_agent;
    ActiveConfig m_config;
    std::vector<std::unique_ptr<LinkDialer>> m_dialers;
    std::vector<std::shared_ptr<PeerLink>> m_links;
    FlowId m_lastFlow = 0;
    std::size_t m_opened = 0;
};

}
