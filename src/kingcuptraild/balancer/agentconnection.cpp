#include "agentconnection.h"

#include "kingcuptraild/hello.h"
#include "libruntime/events.h"

namespace kingcuptrail {

namespace {

    constexpr Millis dialTimeout = 1500;

    LinkOptions linkOptions(const Settings& settings)
    {
        return { .silenceLimit = settings.linkSilence };
    }

}

AgentConnection::AgentConnection(const RoleContext& role, Presence presence, PeerLink::Handlers handlers, OnProcessEnded onProcessEnded, FailureHandler onFailure)
    : m_role(role)
    , m_presence(std::move(presence))
    , m_handlers(std::move(handlers))
    , m_onProcessEnded(std::move(onProcessEnded))
    , m_onFailure(std::move(onFailure))
    , m_dialer(role.context, linkOptions(role.settings))
{
    const auto endpoint = parseEndpoint(m_presence.address);
    if (!endpoint) {
        m_onFailure(ChildFailure::ConnectFailed);
        return;
    }
    m_dialer.dial(*endpoint, dialTimeout, [this](std::shared_ptr<Link> link, LinkError reason) {
        handleDialed(std::move(link), reason);
    });
}

AgentConnection::~AgentConnection()
{
    if (!m_link)
        return;
    m_link->close();
    m_handlers.onClosed(*m_link, LinkError::ClosedHere);
}

void AgentConnection::handleDialed(std::shared_ptr<Link> link, LinkError reason)
{
    if (!link) {
        if (reason == LinkError::ConnectRefused)
            m_onProcessEnded();
        m_onFailure(reason == LinkError::None ? ChildFailure::Internal : ChildFailure::ConnectFailed);
        return;
    }
    PeerLink::Handlers handlers = m_handlers;
    handlers.onHello = [this](const PeerIdentity& peer) { return checkHello(peer); };
    handlers.onClosed = [this](PeerLink& peer, LinkError error) {
        logEvent(Event::LinkLost, { { "peer", m_presence.upstream }, { "reason", nameOf(error) } });
        m_handlers.onClosed(peer, error);
        m_link.reset();
        m_onFailure(error == LinkError::NotExpected ? ChildFailure::PeerRefused : ChildFailure::LinkLost);
    };
    m_link = std::make_shared<PeerLink>(m_role.context, std::move(link), makeHello(m_role.settings, wire::Role::Balancer), m_role.config, std::move(handlers));
    m_link->start();
}

// Between the announcement and the dial, the agent of another service may have taken over the address, and packets would
// reach an upstream of that service. The link is therefore accepted only if the hello matches the announcement.
std::optional<wire::GoodbyeReason> AgentConnection::checkHello(const PeerIdentity& peer) const
{
    const bool isExpected = peer.role == wire::Role::Agent && peer.token == m_presence.token && peer.service == m_presence.service;
    if (isExpected) {
        logEvent(Event::LinkUp, { { "peer", m_presence.upstream }, { "incarnation", peer.token.incarnation } });
        return std::nullopt;
    }
    const bool isSuccessor = peer.token.upstream == m_presence.token.upstream && peer.token.incarnation > m_presence.token.incarnation;
    if (isSuccessor)
        m_onProcessEnded();
    logEvent(Event::LinkRefused, { { "peer", peer.name }, { "expected", m_presence.upstream } });
    return wire::GoodbyeReason::NotExpected;
}

}
