#include "balancerstate.h"

namespace kingcuptrail {

void sendReset(BalancerState& state, const FlowKey& flow, std::uint32_t sequence, ResetReason reason)
{
    state.resets.increment(reason);
    const auto packet = state.adapter.encodeReset(flow, sequence);
    state.network.sendPacket(packet, { asio::ip::address_v4(flow.caller.address), state.role.settings.packets.ingress.port() });
}

void recordLoad(BalancerState& state, const PeerMessage& message, std::uint32_t sender)
{
    AgentLoad& load = state.agentLoads[sender];
    const Millis refusesUntil = load.refusesUntil;
    load = message.load;
    load.receivedAt = state.role.clock.now();
    load.refusesUntil = refusesUntil;
}

bool isInLostDataCentre(const BalancerState& state, std::uint32_t agent)
{
    if (!hasLostDataCentre(state.dataCentreHealth))
        return false;
    const PeerEntry* entry = findByAddress(state.network.directory(), agent);
    return entry && stateOf(state.dataCentreHealth, entry->dataCentre) == DataCentreState::Lost;
}

}
