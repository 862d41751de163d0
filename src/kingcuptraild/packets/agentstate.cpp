#include "agentstate.h"

#include "libruntime/events.h"

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

void deliverToUpstream(AgentState& state, std::span<const std::uint8_t> packet, std::uint32_t mark, bool needsAnswer)
{
    state.sendBuffer.assign(packet.begin(), packet.end());
    state.adapter.clearMarks(state.sendBuffer);
    state.adapter.setMark(state.sendBuffer, mark);
    state.upstreamSocket->send(state.sendBuffer);
    if (needsAnswer)
        recordDelivery(state.upstreamEnd, state.role.clock.now());
}

void resetLostFlow(AgentState& state, const LostFlow& flow, FlowLoss reason)
{
    const Millis now = state.role.clock.now();
    const auto packet = state.adapter.encodeReset(flow.flow, flow.callerAcknowledged);
    state.network.sendPacket(packet, { asio::ip::address_v4(flow.flow.caller.address), state.role.settings.packets.ingress.port() });
    state.resetFlows.increment(reason);
    logFlowEvent(Event::FlowReset, flow.flow, { { "reason", nameOf(reason) }, { "upstream", state.flowAdmission.upstream ? state.flowAdmission.upstream->id : "" }, { "openedAge", static_cast<std::uint64_t>(now - flow.openedAt) }, { "packetAge", static_cast<std::uint64_t>(now - flow.lastPacketAt) }, { "upstreamPacketAge", static_cast<std::uint64_t>(now - flow.upstreamPacketAt) }, { "reportAge", static_cast<std::uint64_t>(now - state.flowAdmission.reportedAt) } });
}

// Callers of lost flows get a reset at once, so that they open new flows instead of sending into lost ones until their
// deadlines.
std::size_t resetLostFlows(AgentState& state, FlowLoss reason)
{
    const std::vector<LostFlow> lost = extractLostFlows(state.flows);
    clearUnanswered(state.health);
    forgetProcess(state.upstreamEnd);
    for (const LostFlow& flow : lost)
        resetLostFlow(state, flow, reason);
    logEvent(Event::FlowsGivenUp, { { "flows", lost.size() }, { "reason", nameOf(reason) } });
    return lost.size();
}

}
