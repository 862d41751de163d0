#pragma once

#include "agentstate.h"
#include "libplatform/delay.h"

namespace kingcuptrail {

/// Sends the copies of callers' packets by which flows are verified, and resets the callers of those that the upstream returns.
class FlowVerifier {
public:
    explicit FlowVerifier(AgentState& state);

    /// Begins to verify all open flows. Returns their number.
    std::size_t begin();
    bool isRunning() const { return !m_verification.flows.empty(); }

    /// Handles a packet of this flow that the upstream has returned: removes the flow and resets its caller if this upstream has
    /// lost it.
    void handleReturned(const FlowKey& flow);

private:
    void sendCopies();

    AgentState& m_state;
    FlowVerification m_verification;
    Delay m_timer;
};

}
