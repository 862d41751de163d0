#pragma once

#include "kingcuptraild/peerlink.h"
#include "kingcuptraild/rolecontext.h"
#include "libplatform/presence.h"

namespace kingcuptrail {

/// Keeps one link to one agent. A child of the supervisor of links: it fails when the link does, and is made again.
class AgentConnection : public Supervised {
public:
    /// Called when the announced process is known to have ended.
    using OnGone = std::function<void()>;

    /// `handlers` gets onUp and everything after it; the hello is checked here.
    AgentConnection(const RoleContext& role, Presence presence, PeerLink::Handlers handlers, OnGone onGone, FailureHandler onFailure);
    ~AgentConnection() override;

private:
    void handleDialed(std::shared_ptr<Link> link, LinkError reason);
    std::optional<wire::GoodbyeReason> checkHello(const PeerIdentity& peer) const;

    const RoleContext& m_role;
    Presence m_presence;
    PeerLink::Handlers m_handlers;
    OnGone m_onGone;
    FailureHandler m_onFailure;
    LinkDialer m_dialer;
    std::shared_ptr<PeerLink> m_link;
};

}
