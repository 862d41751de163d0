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
    /// Closed by this end, nothing is wrong.
    ClosedHere,
    /// Closed by the agent.
    ClosedByPeer,
    /// Its data centre was taken out.
    GivenUp,
    /// Was idle at an upstream that drains; a new flow goes elsewhere.
    Drained,
    /// Nobody took it; no request was carried by it.
    Refused,
    /// No answer to any of its open packets.
    Unanswered,
    /// Was established, and the system lost it.
    Broken,
    /// Was established, and nothing was heard for too long.
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

/// How a flow in this state ends by a reset with this reason.
CallerFlowEnd flowEndOfReset(RefusalReason reason, FlowState state);

/// Whether an established flow was lost against the promise that it survives.
constexpr bool isBreak(CallerFlowEnd end)
{
    return end == CallerFlowEnd::Broken || end == CallerFlowEnd::Silent;
}

/// Times in milliseconds.
struct CallerFlowOptions {
    FlowId flow = 0;
    ServiceAddress service = 0;
    /// This caller's address at the fabric.
    std::uint64_t source = 0;
    /// An idle flow asks its owner for a sign of life this often.
    Millis probeInterval = 2000;
    /// Wait before the first repetition of an unanswered one; doubled each time up to the interval.
    Millis probeRepeat = 250;
    /// How long nothing may be heard after something was sent that asks for an answer. Must be longer than the system
    /// needs to notice and replace a dead link, so that only a flow nobody knows any more is given up.
    Millis silenceLimit = 6000;
    /// The same, after which the flow is suspect: it goes on, but short work is better tried elsewhere.
    Millis suspectAfter = 1500;
    /// How long open packets may stay unanswered.
    Millis openLimit = 6000;
    /// Wait before the first repetition of an open packet; doubled each time up to the longest.
    Millis openResend = 150;
    Millis maxOpenResend = 1200;
    FlowEndpointOptions endpoint;
};

/// The caller's end of one flow: opens it, carries payloads in both directions, notices when it is reset or has gone
/// silent. Packets and the time come in, encoded frames go out; does no I/O and reads no clock.
class CallerFlow {
public:
    CallerFlow(const CallerFlowOptions& options, Millis now);

    /// Takes a packet of this flow.
    void receive(const wire::Packet& packet, Millis now);

    /// Queues a payload; false when the flow has ended or its queue is full.
    bool send(Bytes payload);

    /// The next payload from the peer in order, or nothing.
    std::optional<Bytes> takeDelivered() { return m_endpoint.takeDelivered(); }

    /// The frames to send now. Also moves the flow on: repeats opens, probes, and gives a silent flow up.
    std::vector<Bytes> takeDue(Millis now);

    /// When takeDue() must be called at the latest, if nothing else happens; nothing once the flow has ended.
    std::optional<Millis> nextDue() const;

    /// Says that the path has come back: an open packet that was lost with it is repeated at once.
    void handlePathUp(Millis now);

    /// Ends the flow; its owner is told by the frames of the next takeDue().
    void close();

    FlowId id() const { return m_options.flow; }
    ServiceAddress service() const { return m_options.service; }
    FlowState state() const { return m_state; }
    CallerFlowEnd end() const { return m_end; }
    /// Whether an answer of any kind has been missing for long, as of the last takeDue().
    bool isSuspect() const { return m_isSuspect; }
    /// The reason given by the reset that ended the flow.
    RefusalReason lastReason() const { return m_lastReason; }
    /// How long the reset asks to wait before a new flow is opened, in milliseconds.
    Millis retryAfter() const { return m_retryAfter; }
    OwnerToken owner() const { return m_owner; }
    std::size_t unacknowledged() const { return m_endpoint.unacknowledged(); }
    std::uint64_t resent() const { return m_endpoint.resent(); }

private:
    void handleOpened(const OwnerToken& token);
    void handleReset(const wire::Packet& packet);
    void finish(CallerFlowEnd end);
    void takeOpen(std::vector<Bytes>& frames, Millis now);
    void takeSegments(std::vector<Bytes>& frames, Millis now);
    void takeProbe(std::vector<Bytes>& frames, Millis now);
    void expectAnswer(Millis now);
    Bytes frame(wire::PacketKind kind, const OwnerToken& token, const FlowEndpoint::Segment* segment = nullptr) const;

    CallerFlowOptions m_options;
    FlowEndpoint m_endpoint;
    FlowState m_state = FlowState::Opening;
    CallerFlowEnd m_end = CallerFlowEnd::None;
    RefusalReason m_lastReason = RefusalReason::None;
    Millis m_retryAfter = 0;
    OwnerToken m_owner;
    std::vector<OwnerToken> m_closesOwed;
    bool m_ackOwed = false;
    Millis m_startedAt;
    Millis m_openDue;
    Millis m_openResend;
    Millis m_probeDue = 0;
    Millis m_probeRepeat;
    /// Since when an answer of any kind is missing.
    std::optional<Millis> m_waitingSince;
    bool m_isSuspect = false;
};

/// The frame that tells the sender of `packet` that this flow is not wanted here any more.
Bytes closeFrameFor(const wire::Packet& packet);

/// The owner token in a packet; not set when it carries none.
OwnerToken ownerOf(const wire::Packet& packet);

}
