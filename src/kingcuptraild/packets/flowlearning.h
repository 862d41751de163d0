#pragma once

#include "agentstate.h"
#include "libplatform/delay.h"

#include <optional>
#include <unordered_map>

namespace kingcuptrail {

/// A caller's packet that was delivered to find out whether the upstream holds the flow, and the process that waits for the
/// result.
struct FlowQuestion {
    /// A balancer, or a neighbour that asks on behalf of one.
    std::uint32_t asker = 0;
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
    void ask(const FlowKey& flow, const FlowQuestion& question);

    /// Removes and yields the pending check of a flow, if there is one: the upstream has answered or returned the
    /// packet.
    std::optional<FlowQuestion> take(const FlowKey& flow);

private:
    void startTimer();
    void settle();

    AgentState& m_state;
    Delay m_timer;
    bool m_isTimerOn = false;
    std::unordered_map<FlowKey, FlowQuestion> m_questions;
};

}
