#pragma once

#include "libdecision/agentflows.h"
#include "libdecision/flowadmission.h"
#include "libdecision/upstreamhealth.h"
#include "libruntime/metrics.h"
#include "packetrolestate.h"

namespace kingcuptrail {

/// What an agent did with a packet. Each value has its own counter.
enum class AgentPacketOutcome : std::uint8_t {
    Delivered,
    DeliveredToLearn,
    HandedBack,
    Refused,
    ToCaller,
    Returned,
    Malformed,
    Forged,
};

template <>
struct EnumNames<AgentPacketOutcome> {
    static constexpr std::array<std::string_view, 8> names { "delivered", "deliveredToLearn", "handedBack", "refused", "toCaller", "returned", "malformed", "forged" };
};

/// State shared by the parts of an agent.
struct AgentState : PacketRoleState {
    using PacketRoleState::PacketRoleState;

    AgentFlows flows;
    FlowAdmission flowAdmission;
    UpstreamHealth health;
    /// The directory entry that this agent announces.
    PeerEntry self;
    /// Queued openings that can still be answered within their latency target. Overdue ones are not counted: a new opening
    /// is admitted ahead of them, so counting them would keep balancers away from an agent with room.
    std::uint32_t waiting = 0;
    float smoothedLoad = 0;
    /// Hosts that have sent callers' packets: balancers, and neighbours that probe. The mark of a packet is the sender's index
    /// in this list plus one.
    std::vector<std::uint32_t> senders;
    std::vector<std::uint8_t> sendBuffer;
    EnumCounters<AgentPacketOutcome> packetOutcomes;
    EnumCounters<OpeningRefusal> refusals;
};

/// Sends an answer that also carries this agent's load and configuration version.
void sendReply(AgentState&, std::uint32_t balancer, FlowMessage message);

/// The current load of the upstream, including openings that wait at the agent.
AgentLoad currentLoad(const AgentState&);

/// The mark that identifies the sender of a packet when the upstream returns it. Adds a sender that is not known yet.
std::uint32_t markOf(AgentState&, std::uint32_t sender);

/// Sends a copy of a caller's packet to the upstream, with the marks in the packet replaced by `mark`.
void deliverToUpstream(AgentState&, std::span<const std::uint8_t> packet, std::uint32_t mark);

}
