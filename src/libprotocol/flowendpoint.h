#pragma once

#include "framing.h"
#include "libdecision/ids.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace kingcuptrail {

struct FlowEndpointOptions {
    /// Maximum number of segments in flight. 64 segments of 16 KiB fill a path with a round trip of a few milliseconds at
    /// 100 MB/s.
    std::size_t windowSegments = 64;
    /// Maximum number of segments buffered on receipt. Twice the peer's window, so that no segment within the window is
    /// discarded.
    std::size_t receiveSegments = 128;
    /// Maximum number of queued segments, including those in flight.
    std::size_t queueSegments = 1024;
    /// Bounds of the retransmission timeout, in milliseconds.
    Millis minRetransmitTimeout = 40;
    Millis maxRetransmitTimeout = 1000;
};

/// One end of a reliable flow: numbers the segments that it sends, retransmits them until they are acknowledged, and
/// delivers received segments exactly once and in order. The packets of a flow may pass through different balancers and
/// so be reordered, duplicated or, when a balancer fails, lost; only the two endpoints can detect and correct this. Does no
/// I/O and reads no clock.
class FlowEndpoint {
public:
    using Payload = std::shared_ptr<const Bytes>;

    struct Segment {
        std::uint32_t sequence = 0;
        Payload payload;
    };

    explicit FlowEndpoint(const FlowEndpointOptions& options = {});

    /// Queues a payload. Returns false and queues nothing when the queue is full.
    bool send(Bytes payload);

    /// Returns the segments to send now and marks them as sent: new ones within the window and those whose retransmission
    /// timeout has passed.
    std::vector<Segment> collectOutgoing(Millis now);

    /// When collectOutgoing() next has a segment to send; empty when everything is acknowledged.
    std::optional<Millis> nextDueTime() const;

    /// Handles a received segment. The caller must acknowledge every segment, duplicates included.
    void receive(std::uint32_t sequence, Bytes payload);

    /// Handles the peer's cumulative acknowledgement.
    void acknowledge(std::uint32_t upTo, Millis now);

    /// Removes and returns the next payload in order; empty when it has not arrived.
    std::optional<Bytes> dequeuePayload();

    /// The highest sequence number up to which every segment has arrived.
    std::uint32_t receivedUpTo() const { return m_receivedUpTo; }

    bool canSend() const { return m_outgoing.size() < m_options.queueSegments; }
    std::size_t unacknowledged() const { return m_outgoing.size(); }
    std::uint64_t resent() const { return m_resent; }

private:
    struct Outgoing {
        Payload payload;
        Millis sentAt = -1;
        std::uint32_t sends = 0;
    };

    Millis retransmitTimeout(std::uint32_t sends) const;
    void recordRoundTrip(Millis roundTrip);

    FlowEndpointOptions m_options;
    std::map<std::uint32_t, Outgoing> m_outgoing;
    std::map<std::uint32_t, Bytes> m_received;
    std::uint32_t m_lastQueued = 0;
    std::uint32_t m_receivedUpTo = 0;
    std::uint32_t m_deliveredUpTo = 0;
    std::uint32_t m_resent = 0;
    float m_roundTrip = 0;
    float m_roundTripDeviation = 0;
};

}
