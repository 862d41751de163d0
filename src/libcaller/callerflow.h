#pragma once

#include "libdecision/refusal.h"
#include "libprotocol/flowendpoint.h"

#include <optional>
#include <vector>

namespace kingcuptrail {

enum class FlowState : std::uint8_t {
    Opening,
    Open,
    Ended,
};

template <>
struct EnumNames<FlowState> {
    static constexpr std::array<std::string_view, 3> names { "opening", "open", "ended" };
};

/// Why a flow ended.
enum class CallerFlowEnd : std::uint8_t {
    None,
    /// Closed by this caller.
    ClosedHere,
    /// Closed by the agent.
    ClosedByPeer,
    /// Ended because its data centre was taken out of service.
    GivenUp,
    /// Closed while idle because its upstream drains; a new flow goes to another upstream.
    Drained,
    /// No agent accepted it, so it carried no request.
    Refused,
    /// None of its open packets was answered.
    Unanswered,
    /// Was established and then reset, because no agent holds it any more.
    Broken,
    /// Was established, and no packet arrived within the silence limit.
    Silent,
};

template <>
struct EnumNames<CallerFlowEnd> {
    static constexpr std::array<std::string_view, 9> names {
        "none",
        "closedHere",
        "closedByPeer",
        "givenUp",
        "drained",
        "refused",
        "unanswered",
        "broken",
        "silent",
    };
};

/// Returns how a flow in this state ends when it is reset for this reason.
CallerFlowEnd flowEndOfReset(RefusalReason reason, FlowState state);

/// Whether an established flow was lost that should have survived.
constexpr bool isUnexpectedLoss(CallerFlowEnd end)
{
    return end == CallerFlowEnd::Broken || end == CallerFlowEnd::Silent;
}

/// Times in milliseconds.
struct CallerFlowOptions {
    FlowId flow = 0;
    ServiceAddress service = 0;
    /// This caller's source address at the fabric.
    std::uint64_t source = 0;
    /// Interval at which an idle flow probes its owner.
    Millis probeInterval = 2000;
    /// Delay before an unanswered probe is first repeated; doubles with each repetition, up to probeInterval.
    Millis probeRepeat = 250;
    /// Time without any packet from the owner, after one was sent that requires an answer, that ends the flow. Must be
    /// longer than the system needs to detect and replace a dead link, so that only a flow that no agent holds any more
    /// is ended.
    Millis silenceLimit = 6000;
    /// Time without any packet, as for silenceLimit, after which the flow is suspect: it continues, but idempotent
    /// requests are retried on another flow.
    Millis suspectAfter = 1500;
    /// Time without an answer to any open packet that ends the flow.
    Millis openLimit = 6000;
    /// Delay before an open packet is first repeated; doubles with each repetition, up to maxOpenResend.
    Millis openResend = 150;
    Millis maxOpenResend = 1200;
    FlowEndpointOptions endpoint;
};

/// The caller's end of one flow: opens it, carries payloads in both directions, and detects that it was reset or that no
/// packets arrive any more. Does no I/O and reads no clock: packets and the current time are passed in, encoded frames
/// are returned.
class CallerFlow {
public:
    CallerFlow(const CallerFlowOptions& options, Millis now);

    /// Processes a packet of this flow.
    void receive(const wire::Packet& packet, Millis now);

    /// Queues a payload; false when the flow has ended or its queue is full.
    bool send(Bytes payload);

    /// The next payload from the peer in order, or nothing.
    std::optional<Bytes> dequeuePayload() { return m_endpoint.dequeuePayload(); }

    /// Returns the frames to send now. Also advances the timers: repeats open packets and probes, and ends a flow that has
    /// been silent for too long.
    std::vector<Bytes> collectOutgoing(Millis now);

    /// The latest time at which collectOutgoing() must be called, if nothing else happens; not set once the flow has ended.
    std::optional<Millis> nextDueTime() const;

    /// Reports that the link is up again: an open packet, which may have been lost with the old link, is repeated at once.
    void handlePathUp(Millis now);

    /// Ends the flow. The next collectOutgoing() returns a close packet for its owner.
    void close();

    FlowId id() const { return m_options.flow; }
    ServiceAddress service() const { return m_options.service; }
    FlowState state() const { return m_state; }
    CallerFlowEnd end() const { return m_end; }
    /// Whether no packet had arrived for suspectAfter at the last collectOutgoing().
    bool isSuspect() const { return m_isSuspect; }
    /// The reason given by the reset that ended the flow.
    RefusalReason lastReason() const { return m_lastReason; }
    /// Delay before a new flow should be opened, as requested by the reset, in milliseconds.
    Millis retryAfter() const { return m_retryAfter; }
    OwnerToken owner() const { return m_owner; }
    std::size_t unacknowledged() const { return m_endpoint.unacknowledged(); }
    std::uint64_t resent() const { return m_endpoint.resent(); }

private:
    void handleOpened(const OwnerToken& token);
    void handleReset(const wire::Packet& packet);
    void finish(CallerFlowEnd end);
    void appendOpen(std::vector<Bytes>& frames, Millis now);
    void appendSegments(std::vector<Bytes>& frames, Millis now);
    void appendProbe(std::vector<Bytes>& frames, Millis now);
    void expectAnswer(Millis now);
    Bytes frame(wire::PacketKind kind, const OwnerToken& token, const FlowEndpoint::Segment* segment = nullptr) const;

    CallerFlowOptions m_options;
    FlowEndpoint m_endpoint;
    FlowState m_state = FlowState::Opening;
    CallerFlowEnd m_end = CallerFlowEnd::None;
    RefusalReason m_lastReason = RefusalReason::None;
    Millis m_retryAfter = 0;
    OwnerToken m_owner;
    std::vector<OwnerToken> m_pendingCloses;
    bool m_ackPending = false;
    Millis m_startedAt;
    Millis m_openDue;
    Millis m_openResend;
    Millis m_probeDue = 0;
    Millis m_probeRepeat;
    /// When the oldest packet was sent that requires an answer, if none has arrived since.
    std::optional<Millis> m_unansweredSince;
    bool m_isSuspect = false;
};

/// Builds a close packet that informs the sender of `packet` that the flow no longer exists at this caller.
Bytes closeFrameFor(const wire::Packet& packet);

/// The owner token in a packet; not set when the packet carries none.
OwnerToken ownerOf(const wire::Packet& packet);

}
