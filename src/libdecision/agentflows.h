#pragma once

#include "enumnames.h"
#include "idlelimits.h"
#include "packet.h"

#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace kingcuptrail {

/// The phase of a flow, derived from the packets that pass its agent.
enum class FlowPhase : std::uint8_t {
    /// The opening packet was delivered; the caller has not yet acknowledged this upstream's answer.
    Opening,
    Open,
    /// Both ends have sent their last packet, or one of them has reset the flow.
    Closed,
};

template <>
struct EnumNames<FlowPhase> {
    static constexpr std::array<std::string_view, 3> names { "opening", "open", "closed" };
};

struct AgentFlow {
    FlowPhase phase = FlowPhase::Opening;
    /// Sequence number of the upstream's answer to the opening packet. When two upstreams answer a caller, the caller
    /// acknowledges the sequence number of the one that it chose.
    std::optional<std::uint32_t> answerSequence;
    /// Sequence number after the last byte that the caller has sent; data below it is a retransmission and not new work.
    std::optional<std::uint32_t> callerSentEnd;
    /// The caller's last acknowledgement; a reset must carry it for the caller to accept it.
    std::uint32_t callerAcknowledged = 0;
    /// Address of the process that sent the caller's last packet to the agent: a balancer, or a neighbour that probes on
    /// behalf of one; 0 if unknown.
    std::uint32_t balancer = 0;
    Millis openedAt = 0;
    Millis lastPacketAt = 0;
    /// When the upstream's last packet of this flow passed; 0 for never.
    Millis upstreamPacketAt = 0;
    /// The caller has sent data, and the upstream has not sent any since.
    bool hasRequest = false;
    /// When the request began, for the time of its answer: its first data packet, or the opening's delivery for a request that
    /// follows its opening at once.
    Millis requestSince = 0;
    /// The upstream has answered a request of this flow.
    bool hasAnswer = false;
    bool callerEnded = false;
    bool upstreamEnded = false;
    /// A packet of the caller or of the upstream has shown that this upstream holds the flow. Not set for a flow that was learnt
    /// because the upstream did not return its packet: another upstream may hold it.
    bool isConfirmed = false;
    /// The shortest packet that the caller has sent on the open flow, for FlowVerification; empty if there was none.
    std::vector<std::uint8_t> callerPacket;
    /// Until this time the flow counts as work in progress at the upstream, because it is being opened or its caller has
    /// sent data that is not answered. 0 when it does not count.
    Millis workUntil = 0;
};

struct AgentFlowOptions {
    /// An opening that its caller has not completed is removed after this time, in milliseconds. Callers give up an opening
    /// after 1.4 s.
    Millis openingLimit = 3000;
    /// How long a closed flow is kept for late packets of both ends, in milliseconds. Covers eight retransmissions at
    /// intervals of up to 1.6 s.
    Millis closedLimit = 13000;
    /// How long an opening counts as work, in milliseconds. Its caller completes it within two round trips or has given up.
    /// With a longer time, openings of callers that have left keep other callers waiting until those leave too.
    Millis openingWorkTime = 50;
    /// How long an unanswered request counts as work, in milliseconds. Longer than a request takes to process, and short
    /// enough that abandoned requests don't block the upstream's slots.
    Millis requestWorkTime = 1500;
    /// The number of flows, about 1.4 KB each at most, above which those that have been idle for the longest are removed. The
    /// idle limit of a configuration may be so long that it does not bound the memory.
    std::size_t maxFlows = 32768;
};

/// When a flow that counts as work is checked again.
struct WorkExpiry {
    Millis at = 0;
    FlowKey flow;
};

/// The flows of one upstream that its agent has seen. Plain data; the functions below hold the logic.
struct AgentFlows {
    AgentFlowOptions options;
    IdleLimits idleLimits;
    std::unordered_map<FlowKey, AgentFlow> flows;
    /// Whether the table has every flow of the upstream. False after the agent alone was restarted, since its upstream
    /// still holds flows that the new process has not seen.
    bool isComplete = false;
    /// From this time on the table counts as complete, since any flow not in it has exceeded its idle limit.
    Millis completeAt = 0;
    /// The latest last packet of all open flows that were removed because they were idle. The upstream may still hold such a flow,
    /// so the table is not complete while a flow with this last packet has to be kept: a later configuration has a longer limit, or
    /// the table was full.
    std::optional<Millis> lastRemovedPacketAt;
    /// Flows that count as work.
    std::uint32_t atWork = 0;
    std::uint32_t open = 0;
    /// Requests that callers have begun to send, counted since the start.
    std::uint64_t requests = 0;
    std::deque<WorkExpiry> workExpiries;
    /// First hash bucket that the next sweep checks.
    std::size_t sweepBucket = 0;
};

/// What an agent does with a caller's packet that does not open a flow.
enum class CallerPacketAction : std::uint8_t {
    Deliver,
    /// The flow may date from before this agent's start. The upstream returns the packet if it does not hold the flow.
    DeliverToLearn,
    /// The upstream does not hold the flow.
    NotHeld,
};

template <>
struct EnumNames<CallerPacketAction> {
    static constexpr std::array<std::string_view, 3> names { "deliver", "deliverToLearn", "notHeld" };
};

/// An agent's answer to a query whether it holds a flow: yes, no, or unsure when its upstream may hold the flow from before
/// this process started.
enum class HolderAnswer : std::uint8_t {
    Held,
    NotHeld,
    Unsure,
};

template <>
struct EnumNames<HolderAnswer> {
    static constexpr std::array<std::string_view, 3> names { "held", "notHeld", "unsure" };
};

/// Adds a flow whose opening packet is about to be delivered. A copy of a known flow's opening packet only updates the time
/// of its last packet. `balancer` is the address of the packet's sender, 0 if unknown.
void beginFlow(AgentFlows&, const FlowKey&, Millis now, std::uint32_t balancer = 0);

/// Updates a flow from a caller's packet that does not open a flow, and decides what to do with the packet. `balancer` is
/// the address of the packet's sender, 0 if unknown.
CallerPacketAction trackCallerPacket(AgentFlows&, const FlowKey&, const PacketHeader&, Millis now, std::uint32_t balancer = 0);

/// Keeps a caller's packet that was delivered on an open flow, if it is shorter than the one that is kept. A reset is not kept.
void keepCallerPacket(AgentFlows&, const FlowKey&, const PacketHeader&, std::span<const std::uint8_t> packet);

/// The immediate answer to a balancer that sent a packet to find the flow's holder; nothing when only the upstream can show
/// whether it holds the flow. A flow that is already known needs an explicit Held, or the balancer's search would end
/// without finding it.
std::optional<HolderAnswer> answerToProbe(CallerPacketAction);

/// Whether a packet from the upstream can come only from the process that accepted this flow. The answer to an opening can
/// come from any process at the upstream's address.
bool showsSameProcess(const AgentFlows&, const FlowKey&, const PacketHeader&);

/// What a packet from the upstream changed in its flow's state.
struct UpstreamPacketEffect {
    /// The flow was not in the table; the upstream held it before this process started.
    bool isLearnt = false;
    /// The packet answers an opening packet.
    bool isAnswer = false;
    /// How the upstream ended a request: with data, or with a reset before any data.
    bool isRequestAnswered = false;
    bool isRequestAborted = false;
    /// The time from the request's beginning to this packet, if the packet answers one, in milliseconds.
    std::optional<Millis> answerTime;
};

/// Updates a flow from a packet that the upstream sent to a caller.
UpstreamPacketEffect trackUpstreamPacket(AgentFlows&, const FlowKey&, const PacketHeader&, Millis now);

/// Adds a flow that the upstream held before this process started; does nothing when the flow is known.
void learnFlow(AgentFlows&, const FlowKey&, std::uint32_t callerAcknowledged, Millis now);

/// Removes a flow that the upstream does not hold. Returns whether it was known.
bool forgetFlow(AgentFlows&, const FlowKey&);

/// A flow that the upstream no longer holds, and the acknowledgement that a reset to its caller has to carry.
struct LostFlow {
    FlowKey flow;
    std::uint32_t callerAcknowledged = 0;
    /// When the flow was opened, when its last packet passed, and when the upstream's last packet did.
    Millis openedAt = 0;
    Millis lastPacketAt = 0;
    Millis upstreamPacketAt = 0;
};

/// What a reset of this flow and its log line need.
LostFlow toLostFlow(const FlowKey&, const AgentFlow&);

/// Removes every flow, since the upstream's process has ended, and returns those that are open and have to be reset. An
/// opening that its caller has not completed is not returned: the caller may have accepted another upstream's answer and
/// hold the flow there. A flow that was learnt because the upstream did not return its packet is not returned either: an
/// upstream that is paused or has ended returns no packets, so the flow may be held elsewhere. The table is complete afterwards,
/// since the agent sees every flow of the new process.
std::vector<LostFlow> extractLostFlows(AgentFlows&);

/// Stops counting flows as work whose time has expired.
void expireWork(AgentFlows&, Millis now);

/// Applies the idle limits of the configurations in force. The table has seen every flow's packets since `startedAt`.
void updateIdleLimits(AgentFlows&, const IdleLimits&, Millis startedAt);

/// Removes flows that have exceeded their limits. Each call checks a part of the table to bound its running time. Returns how many
/// more were removed because there are too many.
std::size_t sweepFlows(AgentFlows&, Millis now);

/// Answers a balancer that searches for the holder of a flow. `acknowledged` is from the caller's packet.
HolderAnswer answerHolderQuery(const AgentFlows&, const FlowKey&, std::uint32_t acknowledged, Millis now);

}
