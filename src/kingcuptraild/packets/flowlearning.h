#pragma once

#include "agentstate.h"
#include "libplatform/delay.h"

#include <optional>
#include <unordered_map>

namespace kingcuptrail {

/// A caller's packet that was delivered to find out whether the upstream holds the flow, and the process that waits for the
/// result.
struct PendingFlowCheck {
    /// A balancer, or a neighbour that asks on behalf of one.
    std::uint32_t requester = 0;
    Millis since = 0;
    /// The packet came in a Probe message, so its sender has kept a copy.
    bool isProbe = false;
    std::uint32_t acknowledged = 0;
};

/// Learns which flows the upstream holds from before this process started. The upstream returns packets of flows that it does
/// not hold at once; a packet that is not returned shows that it holds the flow.
class FlowLearning {
public:
    explicit FlowLearning(AgentState& state);

    /// Records that a packet of this flow is being delivered to the upstream.
    void beginCheck(const FlowKey& flow, const PendingFlowCheck& check);

    /// Removes and returns the pending check of a flow, if there is one: the upstream has answered or returned the packet.
    std::optional<PendingFlowCheck> finishCheck(const FlowKey& flow);

private:
    void startTimer();
    void learnUnreturnedFlows();

    AgentState& m_state;
    Delay m_timer;
    bool m_isTimerOn = false;
    std::unordered_map<FlowKey, PendingFlowCheck> m_pendingChecks;
};

}
