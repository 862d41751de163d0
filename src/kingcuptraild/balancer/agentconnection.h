#pragma once

#include "kingcuptraild/peerlink.h"
#include "kingcuptraild/rolecontext.h"
#include "libplatform/presence.h"

namespace kingcuptrail {

/// One link to one agent. A child of the link supervisor: it fails when the link is lost, and the supervisor restarts it.
class AgentConnection : public Supervised {
public:
    /// Called when the announced process is known to have ended.
    using OnProcessEnded = std::function<void()>;

    /// `handlers` get onUp and all later events; the hello is checked against the announcement here.
    AgentConnection(const RoleContext& role, Presence presence, PeerLink::Handlers handlers, OnProcessEnded onProcessEnded, FailureHandler onFailure);
    ~AgentConnection() override;

private:
    void handleDialed(std::shared_ptr<Link> link, LinkError reason);
    std::optional<wire::GoodbyeReason> checkHello(const PeerIdentity& peer) const;

    const RoleContext& m_role;
    Presence m_presence;
    PeerLink::Handlers m_handlers;
    OnProcessEnded m_onProcessEnded;
    FailureHandler m_onFailure;
    LinkDialer m_dialer;
    std::shared_ptr<PeerLink> m_link;
};

}
