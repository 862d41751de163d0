#pragma once

#include "flowholders.h"
#include "libdecision/agentchoice.h"
#include "libdecision/silentagents.h"
#include "libruntime/metrics.h"
#include "packetrolestate.h"

namespace kingcuptrail {

/// What a balancer did with a caller's packet; one counter each.
enum class PacketFate : std::uint8_t {
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
struct EnumNames<PacketFate> {
    static constexpr std::array<std::string_view, 8> names { "offered", "forwarded", "probed", "waiting", "malformed", "forged", "noView", "searchFull" };
};

/// Why a balancer reset a caller's flow; one counter each.
enum class ResetReason : std::uint8_t {
    NoRoute,
    NoAgent,
    RefusedByAll,
    HeldByNobody,
};

template <>
struct EnumNames<ResetReason> {
    static constexpr std::array<std::string_view, 4> names { "noRoute", "noAgent", "refusedByAll", "heldByNobody" };
};

/// What the parts of a balancer share.
struct BalancerState : PacketRoleState {
    using PacketRoleState::PacketRoleState;

    /// By the agent's address.
    std::unordered_map<std::uint32_t, AgentLoad> loads;
    SilentAgents silent;
    /// A cache of who holds which flow.
    std::unordered_map<FlowKey, Holder> holders;
    EnumCounters<PacketFate> fates;
    EnumCounters<ResetReason> resets;
    EnumCounters<OpenRefusal> refusals;
};

/// Resets a flow at its caller; `sequence` is near what the caller last acknowledged, or anything for an opening.
void sendReset(BalancerState&, const FlowKey& flow, std::uint32_t sequence, ResetReason reason);

/// Takes the load that an agent's message carries.
void noteLoad(BalancerState&, const PeerMessage& message, std::uint32_t sender);

/// The packet's bytes, to be kept.
inline PacketBytes copyOf(std::span<const std::uint8_t> packet)
{
    return { packet.begin(), packet.end() };
}

}
