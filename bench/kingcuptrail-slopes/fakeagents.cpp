#include "fakeagents.h"

#include "libdecision/pacing.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    constexpr const char* dataCentre = "north";
    constexpr Millis heartbeatBase = 500;
    constexpr std::size_t servicesPerNetwork = 250;

    asio::ip::tcp::endpoint anyPort()
    {
        return { asio::ip::address_v4::loopback(), 0 };
    }

}

std::string fakeServiceName(std::size_t number)
{
    return "service-" + std::to_string(number);
}

Config fakeConfig(std::size_t services, std::uint32_t slots)
{
    Config config { .version = 0, .services = {}, .dataCentres = { { .name = dataCentre }, { .name = "south" } } };
    for (std::size_t number = 0; number < services; ++number) {
        const std::string address = "10.1." + std::to_string(number / servicesPerNetwork) + "." + std::to_string(number % servicesPerNetwork + 1) + ":443";
        config.services.push_back({ .name = fakeServiceName(number), .address = *parseServiceAddress(address), .dataCentres = { dataCentre }, .slots = number == 0 ? slots : 5 });
    }
    return config;
}

FakeAgents::FakeAgents(asio::io_context& context, const PlatformOptions& platform, std::size_t count, std::size_t services)
    : m_context(context)
{
    for (std::size_t number = 0; number < count; ++number) {
        auto agent = std::make_unique<FakeAgent>();
        FakeAgent& fake = *agent;
        fake.listener = std::make_unique<Listener>(
            context, anyPort(), LinkOptions {}, [this, &fake](std::shared_ptr<Link> link) { accept(fake, std::move(link)); }, [](ChildFailure) {});
        const std::string name = "upstream-" + std::to_string(number);
        fake.presence = {
            .upstream = name,
            .token = { upstreamIdOf(name), 0 },
            .service = fakeServiceName(number % services),
            .dataCentre = dataCentre,
            .address = "127.0.0.1:" + std::to_string(fake.listener->localPort()),
        };
        fake.announcer = std::make_unique<Announcer>(context, platform, fake.presence,
            Announcer::Handlers { .onAnnounced = [&fake](const Presence& presence) { fake.presence = presence; }, .onFenced = {} });
        m_agents.push_back(std::move(agent));
    }
}

void FakeAgents::accept(FakeAgent& agent, std::shared_ptr<Link> link)
{
    wire::HelloT hello;
    hello.role = wire::Role::Agent;
    hello.name = agent.presence.upstream;
    hello.upstream = agent.presence.token.upstream;
    hello.incarnation = agent.presence.token.incarnation;
    hello.service = agent.presence.service;
    hello.data_centre = dataCentre;
    agent.link = std::make_shared<PeerLink>(m_context, std::move(link), hello, agent.config,
        PeerLink::Handlers {
            .onHello = [](const PeerIdentity&) { return std::nullopt; },
            .onPacket = [](PeerLink&, const wire::Packet&, std::span<const std::uint8_t>) {},
            .onClosed = [&agent](PeerLink& peer, LinkError) { agent.closedLinkBytes += peer.link().bytesSent() + peer.link().bytesReceived(); },
            .reportLoad = [] { return LoadReport { .openFlows = 1, .links = 1 }; },
            .heartbeatInterval = [] { return heartbeatBase; },
        });
    agent.link->start();
}

std::size_t FakeAgents::linked() const
{
    return static_cast<std::size_t>(std::count_if(m_agents.begin(), m_agents.end(), [](const auto& agent) { return agent->link && agent->link->isUp(); }));
}

std::size_t FakeAgents::countAtVersion(ConfigVersion version) const
{
    return static_cast<std::size_t>(std::count_if(m_agents.begin(), m_agents.end(), [&](const auto& agent) { return agent->config.version() >= version; }));
}

std::uint64_t FakeAgents::linkBytes() const
{
    std::uint64_t bytes = 0;
    for (const auto& agent : m_agents) {
        bytes += agent->closedLinkBytes;
        if (agent->link && agent->link->isOpen())
            bytes += agent->link->link().bytesSent() + agent->link->link().bytesReceived();
    }
    return bytes;
}

}
