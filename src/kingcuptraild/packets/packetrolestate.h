#pragma once

#include "kingcuptraild/rolecontext.h"
#include "libplatform/deploymentadapter.h"
#include "peernetwork.h"

namespace kingcuptrail {

/// State shared by the parts of every packet role: the process's context, the deployment adapter and the network of peers.
struct PacketRoleState {
    PacketRoleState(const RoleContext& roleContext, const DeploymentAdapter& deployment)
        : role(roleContext)
        , adapter(deployment)
        , network(roleContext.context, roleContext.settings, roleContext.clock)
        , startedAt(roleContext.clock.now())
    {
    }

    const RoleContext role;
    const DeploymentAdapter& adapter;
    PeerNetwork network;
    Millis startedAt;
};

}
