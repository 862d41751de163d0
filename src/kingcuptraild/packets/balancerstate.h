#pragma once

#include "flowholders.h"
#include "libdecision/agentchoice.h"
#include "libdecision/bulkadmission.h"
#include "libdecision/datacentrehealth.h"
#include "libdecision/resetreason.h"
#include "libdecision/unresponsiveagents.h"
#include "libruntime/metrics.h"
#include "packetrolestate.h"

namespace kingcuptrail {

/// What a balancer did with a caller's packet. Each value has its own counter.
enum class CallerPacketOutcome : std::uint8_t {
    Offered,
    Forwarded,
    Probed,
    Waiting,
    Malformed,
    Forged,
    NoView,
    SearchFull,
};

template <>
struct EnumNames<CallerPacketOutcome> {
    static constexpr std::array<std::string_view, 8> names { "offered", "forwarded", "probed", "waiting", "malformed", "forged", "noView", "searchFull" };
};

/// State shared by the parts of a balancer.
struct BalancerState : PacketRoleState {
    using PacketRoleState::PacketRoleState;

    /// The last known load of each agent, by the agent's address.
    std::unordered_map<std::uint32_t, AgentLoad> agentLoads;
    UnresponsiveAgents unresponsiveAgents;
    /// Which other data centres answer. Empty unless `packets.toleratedDataCentreLosses` is set. Its changes are announced by
    /// PacketBalancer::handleDataCentreChange().
    DataCentreHealth dataCentreHealth;
    /// Cache of the agent that holds each flow.
    std::unordered_map<FlowKey, CachedHolder> holderCache;
    EnumCounters<CallerPacketOutcome> packetOutcomes;
    EnumCounters<ResetReason> resets;
    EnumCounters<OpeningRefusal> refusals;
    /// Whether this host's link has room for another large upload.
    BulkAdmission bulk { .options = { .linkMegabits = role.settings.packets.linkMegabits } };
};

/// Sends a reset for a flow to its caller. `sequence` must be near the number that the caller last acknowledged; for an
/// opening any value will do.
void sendReset(BalancerState&, const FlowKey& flow, std::uint32_t sequence, ResetReason reason);

/// Stores the load that an agent's message carries.
void recordLoad(BalancerState&, const PeerMessage& message, std::uint32_t sender);

/// Whether the agent at this address is in a data centre that is lost. An agent that is not in the directory is not.
bool isInLostDataCentre(const BalancerState&, std::uint32_t agent);

/// Copies a packet that has to outlive the receive buffer.
inline PacketBytes copyPacket(std::span<const std::uint8_t> packet)
{
    return { packet.begin(), packet.end() };
}

}
