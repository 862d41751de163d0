#include "agentstate.h"

#include <algorithm>

namespace kingcuptrail {

void sendReply(AgentState& state, std::uint32_t balancer, FlowMessage message)
{
    const AgentLoad now = currentLoad(state);
    message.load = &now;
    message.configVersion = state.network.routes().version;
    state.network.send(balancer, message);
}

AgentLoad currentLoad(const AgentState& state)
{
    return { .atWork = state.flows.atWork + static_cast<std::uint32_t>(state.waiting), .slots = state.flowAdmission.upstream ? state.flowAdmission.upstream->slots : 1, .usual = state.smoothedLoad, .isCold = state.role.clock.now() < state.flowAdmission.coldUntil };
}

std::uint32_t markOf(AgentState& state, std::uint32_t sender)
{
    const auto found = std::ranges::find(state.senders, sender);
    if (found != state.senders.end())
        return static_cast<std::uint32_t>(found - state.senders.begin()) + 1;
    state.senders.push_back(sender);
    return static_cast<std::uint32_t>(state.senders.size());
}

void deliverToUpstream(AgentState& state, std::span<const std::uint8_t> packet, std::uint32_t mark)
{
    state.sendBuffer.assign(packet.begin(), packet.end());
    state.adapter.clearMarks(state.sendBuffer);
    state.adapter.setMark(state.sendBuffer, mark);
    const auto& upstream = state.role.settings.packets.upstream;
    state.network.sendPacket(state.sendBuffer, { upstream.address(), upstream.port() });
}

}
