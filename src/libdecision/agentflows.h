#pragma once

#include "enumnames.h"
#include "packet.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kingcuptrail {

/// How far a flow has got, as its agent sees it pass.
enum class FlowPhase : std::uint8_t {
    /// The opening packet was delivered; the caller has not yet acknowledged this upstream's answer.
    Opening,
    Open,
    /// Both ends have sent their last packet, or one has reset the flow.
    Closed,
};

template <>
struct EnumNames<FlowPhase> {
    static constexpr std::array<std::string_view, 3> names { "opening", "open", "closed" };
};

struct AgentFlow {
    FlowPhase phase = FlowPhase::Opening;
    /// Sequence of the upstream's answer to the opening packet. A caller that was answered by two upstreams names the
    /// one it took by acknowledging it.
    std::optional<std::uint32_t> answerSequence;
    /// End of what the caller is known to have sent; what it sends again is no new work.
    std::optional<std::uint32_t> callerSent;
    /// What the caller last acknowledged; a reset that the caller is to accept carries it.
    std::uint32_t callerAcknowledged = 0;
    Millis openedAt = 0;
    Millis lastPacketAt = 0;
    /// The caller has sent data that the upstream has not answered with any.
    bool hasRequest = false;
    bool callerEnded = false;
    bool upstreamEnded = false;
    /// The flow counts as work of the upstream until then: it is being opened, or its caller has sent data that the upstream
    /// has not answered. 0 when it does not count.
    Millis workUntil = 0;
};

struct AgentFlowOptions {
    /// A flow that was silent for longer is forgotten, in milliseconds. Above the idle limit after which callers
    /// and upstreams discard a flow themselves.
    Millis idleLimit = 20000;
    /// An opening that its caller has not completed is forgotten, in milliseconds: callers give an opening up after 1.4 s.
    Millis openingLimit = 3000;
    /// A closed flow is remembered for the ends' late packets, in milliseconds: eight resends at up to 1.6 s.
    Millis closedLimit = 13000;
    /// How long an opening counts as work, in milliseconds: its caller completes it within two round trips or has given up.
    /// Counted for longer, openings of callers that have left would keep others out, who leave in turn.
    Millis openingWork = 50;
    /// How long an unanswered request counts as work, in milliseconds: longer than work takes, and so short that requests
    /// that were abandoned midway do not keep the upstream's slots.
    Millis requestWork = 1500;
};

/// When a flow that counts as work is looked at again.
struct WorkExpiry {
    Millis at = 0;
    FlowKey flow;
};

/// The flows of one upstream, as the agent beside it has seen them. Plain data; decided on by the functions below.
struct AgentFlows {
    AgentFlowOptions options;
    std::unordered_map<FlowKey, AgentFlow> flows;
    /// Whether every flow of the upstream is in the table. Not so after the agent alone was restarted: its upstream still
    /// holds flows that this process has not seen.
    bool isComplete = false;
    /// From when on the table is complete by the passing of time, since what is not in it was silent for too long.
    Millis completeAt = 0;
    /// Flows that count as work.
    std::uint32_t atWork = 0;
    std::uint32_t open = 0;
    /// Requests that callers have begun to send.
    std::uint64_t requests = 0;
    std::deque<WorkExpiry> workExpiries;
    /// Part of the table that the next sweep looks at.
    std::size_t sweepBucket = 0;
};

/// What the agent does with a caller's packet that does not open a flow.
enum class CallerPacketAction : std::uint8_t {
    Deliver,
    /// The flow may be one from before this agent's start: the upstream knows, and hands the packet back if it does not.
    DeliverToLearn,
    /// The flow is certainly not this upstream's.
    NotHeld,
};

template <>
struct EnumNames<CallerPacketAction> {
    static constexpr std::array<std::string_view, 3> names { "deliver", "deliverToLearn", "notHeld" };
};

/// Whether a flow is certainly held, certainly not held, or may be held from before this process started.
enum class HolderAnswer : std::uint8_t {
    Held,
    NotHeld,
    Unsure,
};

template <>
struct EnumNames<HolderAnswer> {
    static constexpr std::array<std::string_view, 3> names { "held", "notHeld", "unsure" };
};

/// Begins a flow whose opening packet is about to be delivered; a copy of one that is known changes nothing.
void beginFlow(AgentFlows&, const FlowKey&, Millis now);

/// Decides on a caller's packet that does not open a flow, and notes what it tells.
CallerPacketAction takeCallerPacket(AgentFlows&, const FlowKey&, const PacketHead&, Millis now);

/// What is told at once to whoever sent a packet to find the flow's holder; nothing when the upstream has yet to show it.
/// Without the yes a search for a flow that is known here would end without it.
std::optional<HolderAnswer> answerToProbe(CallerPacketAction);

/// What a packet from the upstream told about a flow.
struct UpstreamPacketNews {
    /// The flow was not in the table: the upstream held it before this process started.
    bool isLearnt = false;
    /// The answer to an opening packet.
    bool isAnswer = false;
    /// How the upstream ended work on a request: with data, or by a reset before any.
    bool isWorkAnswered = false;
    bool isWorkBrokenOff = false;
};

/// Notes a packet that the upstream sent to a caller.
UpstreamPacketNews takeUpstreamPacket(AgentFlows&, const FlowKey&, const PacketHead&, Millis now);

/// Enters a flow that the upstream held before this process started; nothing when it is known.
void learnFlow(AgentFlows&, const FlowKey&, std::uint32_t callerAcknowledged, Millis now);

/// Forgets a flow that the upstream does not hold; whether it was known.
bool forgetFlow(AgentFlows&, const FlowKey&);

/// A flow that the upstream certainly no longer holds, and what a reset to its caller has to carry.
struct LostFlow {
    FlowKey flow;
    std::uint32_t callerAcknowledged = 0;
};

/// Takes out every flow, since the upstream's process has ended; those that are open are to be reset. An opening that its
/// caller has not completed is not: the caller may have taken another upstream's answer and hold the flow there. From
/// here on the table is complete: the new process holds nothing that is not seen from now on.
std::vector<LostFlow> takeLostFlows(AgentFlows&);

/// Takes flows out of the count of work whose time there is over.
void expireWork(AgentFlows&, Millis now);

/// Forgets flows that are over by their limits. Looks at a part of the table at each call, so that no call takes long.
void sweepFlows(AgentFlows&, Millis now);

/// Answers a balancer that looks for the holder of a caller's packet.
HolderAnswer answerHolderQuestion(const AgentFlows&, const FlowKey&, std::uint32_t acknowledged, Millis now);

}
