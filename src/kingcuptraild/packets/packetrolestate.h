#pragma once

#include "kingcuptraild/rolecontext.h"
#include "libplatform/deploymentadapter.h"
#include "peernetwork.h"

namespace kingcuptrail {

/// What the parts of every packet role share: the process they run in and what it knows of the deployment.
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
