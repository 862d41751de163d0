#pragma once

#include "agentstate.h"
#include "libplatform/delay.h"

#include <optional>
#include <unordered_map>

namespace kingcuptrail {

/// A caller's packet that went to the upstream to learn whether it holds the flow, and who is to be told.
struct FlowQuestion {
    /// A balancer, or a neighbour that one has asked.
    std::uint32_t asker = 0;
    Millis since = 0;
    /// The asker still has the packet.
    bool isProbe = false;
    std::uint32_t acknowledged = 0;
};

/// Learns which flows the upstream holds from before this process started: it hands back at once what it does not hold.
class FlowLearning {
public:
    explicit FlowLearning(AgentState& state);

    /// The packet of this flow goes to the upstream now.
    void ask(const FlowKey& flow, const FlowQuestion& question);

    /// Ends the question about a flow, if there is one: the upstream has answered or handed the packet back.
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
