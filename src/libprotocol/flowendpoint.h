#pragma once

#include "framing.h"
#include "libdecision/ids.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace kingcuptrail {

struct FlowEndpointOptions {
    /// Segments in flight at most. 64 segments of 16 KiB fill a path of a few milliseconds at 100 MB/s.
    std::size_t windowSegments = 64;
    /// Segments held out of order at most; twice the peer's window, so that nothing within it is thrown away.
    std::size_t receiveSegments = 128;
    /// Segments waiting to be sent at most, in flight included.
    std::size_t queueSegments = 1024;
    /// Shortest and longest wait before a segment is sent again, in milliseconds.
    Millis minResendAfter = 40;
    Millis maxResendAfter = 1000;
};

/// One end of a flow: numbers what is sent, sends it again until acknowledged, and delivers what arrives once and in
/// order. The flow's packets take different balancers, which reorder, duplicate and (when one dies) lose them; the two
/// endpoints are the only place that can tell and mend it. Does no I/O and reads no clock.
class FlowEndpoint {
public:
    using Payload = std::shared_ptr<const Bytes>;

    struct Segment {
        std::uint32_t sequence = 0;
        Payload payload;
    };

    explicit FlowEndpoint(const FlowEndpointOptions& options = {});

    /// Queues a payload; false when the queue is full, and nothing is taken then.
    bool send(Bytes payload);

    /// The segments to put on the wire now: new ones within the window and those whose wait has passed.
    std::vector<Segment> takeDue(Millis now);

    /// When takeDue() next has something to send again; nothing while all is acknowledged.
    std::optional<Millis> nextDue() const;

    /// Takes a segment that arrived. Every one, also a duplicate, is owed an acknowledgement.
    void receive(std::uint32_t sequence, Bytes payload);

    /// Takes the peer's cumulative acknowledgement.
    void acknowledge(std::uint32_t upTo, Millis now);

    /// The next payload in order, or nothing.
    std::optional<Bytes> takeDelivered();

    /// The highest sequence up to which everything has arrived.
    std::uint32_t receivedUpTo() const { return m_receivedUpTo; }

    bool hasRoom() const { return m_outgoing.size() < m_options.queueSegments; }
    std::size_t unacknowledged() const { return m_outgoing.size(); }
    std::uint64_t resent() const { return m_resent; }

private:
    struct Outgoing {
        Payload payload;
        Millis sentAt = -1;
        std::uint32_t sends = 0;
    };

    Millis resendAfter(std::uint32_t sends) const;
    void measure(Millis roundTrip);

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
