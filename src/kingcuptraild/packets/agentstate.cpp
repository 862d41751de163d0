#include "agentstate.h"

#include <algorithm>

namespace kingcuptrail {

void reply(AgentState& state, std::uint32_t balancer, FlowMessage message)
{
    const AgentLoad now = loadOf(state);
    message.load = &now;
    message.configVersion = state.network.routes().version;
    state.network.send(balancer, message);
}

AgentLoad loadOf(const AgentState& state)
{
    return { .atWork = state.flows.atWork + static_cast<std::uint32_t>(state.waiting), .slots = state.gate.upstream ? state.gate.upstream->slots : 1, .usual = state.usualLoad, .isCold = state.role.clock.now() < state.gate.coldUntil };
}

std::uint32_t indexOf(AgentState& state, std::uint32_t sender)
{
    const auto found = std::ranges::find(state.senders, sender);
    if (found != state.senders.end())
        return static_cast<std::uint32_t>(found - state.senders.begin()) + 1;
    state.senders.push_back(sender);
    return static_cast<std::uint32_t>(state.senders.size());
}

void deliver(AgentState& state, std::span<const std::uint8_t> packet, std::uint32_t mark)
{
    state.scratch.assign(packet.begin(), packet.end());
    state.adapter.clearMarks(state.scratch);
    state.adapter.setMark(state.scratch, mark);
    const auto& upstream = state.role.settings.packets.upstream;
    state.network.sendPacket(state.scratch, { upstream.address(), upstream.port() });
}

}
