#pragma once

#include "libdecision/agentflows.h"
#include "libdecision/opengate.h"
#include "libdecision/upstreamhealth.h"
#include "libruntime/metrics.h"
#include "packetrolestate.h"

namespace kingcuptrail {

/// What an agent did with a packet; one counter each.
enum class AgentPacketFate : std::uint8_t {
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
struct EnumNames<AgentPacketFate> {
    static constexpr std::array<std::string_view, 8> names { "delivered", "deliveredToLearn", "handedBack", "refused", "toCaller", "returned", "malformed", "forged" };
};

/// What the parts of an agent share.
struct AgentState : PacketRoleState {
    using PacketRoleState::PacketRoleState;

    AgentFlows flows;
    OpenGate gate;
    UpstreamHealth health;
    /// What this agent announces of itself.
    PeerEntry self;
    /// Openings that wait here and can still be answered in time: those that a new one would wait with. Late ones would keep
    /// balancers away from an agent that serves a new one at once.
    std::uint32_t waiting = 0;
    float usualLoad = 0;
    /// Hosts that have sent callers' packets, balancers and neighbours that probe; a packet's mark is an index into it, plus one.
    std::vector<std::uint32_t> senders;
    std::vector<std::uint8_t> scratch;
    EnumCounters<AgentPacketFate> fates;
    EnumCounters<OpenRefusal> refusals;
};

/// Answers a balancer, with this agent's load.
void reply(AgentState&, std::uint32_t balancer, FlowMessage message);

/// How loaded the upstream is.
AgentLoad loadOf(const AgentState&);

/// The mark by which a packet that comes back is known to be this sender's.
std::uint32_t indexOf(AgentState&, std::uint32_t sender);

/// Sends a caller's packet to the upstream, as its sender wrote it.
void deliver(AgentState&, std::span<const std::uint8_t> packet, std::uint32_t mark);

}
