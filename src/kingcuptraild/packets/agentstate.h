#pragma once

#include "libdecision/agentflows.h"
#include "libdecision/flowadmission.h"
#include "libdecision/flowverification.h"
#include "libdecision/routetimes.h"
#include "libdecision/unansweredopenings.h"
#include "libdecision/upstreamend.h"
#include "libdecision/upstreamhealth.h"
#include "libruntime/metrics.h"
#include "packetrolestate.h"
#include "upstreamsocket.h"

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
    SentToVerify,
};

template <>
struct EnumNames<AgentPacketOutcome> {
    static constexpr std::array<std::string_view, 9> names { "delivered", "deliveredToLearn", "handedBack", "refused", "toCaller", "returned", "malformed", "forged", "sentToVerify" };
};

/// What shows that the upstream has lost a flow.
enum class FlowLoss : std::uint8_t {
    /// A process of another service reports at the upstream's address, which is reused only some time after its process has ended.
    UpstreamReplaced,
    /// No process has bound the upstream's port.
    UpstreamEnded,
    /// The process at the upstream's address returned a packet of the flow.
    Returned,
};

template <>
struct EnumNames<FlowLoss> {
    static constexpr std::array<std::string_view, 3> names { "upstreamReplaced", "upstreamEnded", "returned" };
};

/// State shared by the parts of an agent.
struct AgentState : PacketRoleState {
    using PacketRoleState::PacketRoleState;

    AgentFlows flows;
    FlowAdmission flowAdmission;
    UpstreamHealth health;
    UpstreamEndDetection upstreamEnd;
    UnansweredOpenings unansweredOpenings;
    RouteTimes routeTimes;
    LatencyHistogram answerTimes;
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
    std::unique_ptr<UpstreamSocket> upstreamSocket;
    EnumCounters<AgentPacketOutcome> packetOutcomes;
    EnumCounters<OpeningRefusal> refusals;
    EnumCounters<FlowLoss> resetFlows;
};

/// Sends an answer that also carries this agent's load and configuration version.
void sendReply(AgentState&, std::uint32_t balancer, FlowMessage message);

/// The current load of the upstream, including openings that wait at the agent.
AgentLoad currentLoad(const AgentState&);

/// The mark that identifies the sender of a packet when the upstream returns it. Adds a sender that is not known yet.
std::uint32_t markOf(AgentState&, std::uint32_t sender);

/// Sends a copy of a caller's packet to the upstream, with the marks in the packet replaced by `mark`. `needsAnswer` is set
/// for opening packets and packets with data.
void deliverToUpstream(AgentState&, std::span<const std::uint8_t> packet, std::uint32_t mark, bool needsAnswer);

/// Resets the caller of a flow that the upstream has lost.
void resetLostFlow(AgentState&, const LostFlow&, FlowLoss);

/// Resets the callers of all flows of a process that has ended, and empties the flow table. Returns the number of resets.
std::size_t resetLostFlows(AgentState&, FlowLoss);

}
