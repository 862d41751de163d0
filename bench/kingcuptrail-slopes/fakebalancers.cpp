#include "fakebalancers.h"

#include "libdecision/pacing.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    constexpr Millis dialTimeout = 2000;
    /// The heartbeat interval of a balancer with few links, which puts the highest heartbeat load on an agent.
    constexpr Millis heartbeatBase = 500;

}

FakeBalancers::FakeBalancers(asio::io_context& context, const asio::ip::tcp::endpoint& agent, std::size_t count)
    : m_context(context)
    , m_agent(agent)
{
    for (std::size_t number = 0; number < count; ++number)
        dial(number);
}

void FakeBalancers::dial(std::size_t number)
{
    m_dialers.push_back(std::make_unique<LinkDialer>(m_context, LinkOptions {}));
    m_dialers.back()->dial(m_agent, dialTimeout, [this, number](std::shared_ptr<Link> link, LinkError) {
        if (!link)
            return;
        wire::HelloT hello;
        hello.role = wire::Role::Balancer;
        hello.name = "balancer-" + std::to_string(number);
        m_links.push_back(std::make_shared<PeerLink>(m_context, std::move(link), hello, m_config,
            PeerLink::Handlers {
                .onHello = [](const PeerIdentity&) { return std::nullopt; },
                .onPacket = [this](PeerLink&, const wire::Packet& packet, std::span<const std::uint8_t>) { m_opened += packet.kind() == wire::PacketKind::Opened ? 1 : 0; },
                .heartbeatInterval = [] { return heartbeatBase; },
            }));
        m_links.back()->start();
    });
}

void FakeBalancers::openFlows(ServiceAddress service, std::size_t count)
{
    for (std::size_t opened = 0; opened < count && !m_links.empty(); ++opened) {
        wire::PacketT packet;
        packet.kind = wire::PacketKind::Open;
        packet.service = service;
        packet.flow = ++m_lastFlow;
        packet.source = 1;
        m_links[opened % m_links.size()]->sendPacket(encodeFrameOf(std::move(packet)));
    }
}

std::size_t FakeBalancers::linked() const
{
    return static_cast<std::size_t>(std::count_if(m_links.begin(), m_links.end(), [](const auto& link) { return link->isUp(); }));
}

std::uint64_t FakeBalancers::linkBytes() const
{
    std::uint64_t bytes = 0;
    for (const auto& link : m_links)
        bytes += link->link().bytesSent() + link->link().bytesReceived();
    return bytes;
}

}
