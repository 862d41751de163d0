#pragma once

#include "balancerstate.h"

namespace kingcuptrail {

/// An opening that waits until the link has room for another large upload.
struct HeldOpening {
    FlowKey flow;
    PacketBytes packet;
    Millis arrivedAt = 0;
    /// When its caller first sent it, as far as the number of its copy tells.
    Millis startedAt = 0;
};

/// Applies the bulk admission of a balancer to its callers' openings: keeps the packets of waiting ones, resets those that are
/// refused, and logs and counts the decisions. Without a small link every opening passes.
class BulkGate {
public:
    explicit BulkGate(BalancerState& state);

    /// Records any packet that a caller sent. Returns whether an opening waits for room that the packet may have made.
    bool recordPacket(const FlowKey& flow, const PacketHeader& header, std::size_t bytes);
    /// Whether an opening or a copy of one may be offered to agents now. Otherwise it is held or was refused.
    bool admits(const FlowKey& flow, Millis startedAt, std::span<const std::uint8_t> packet);
    /// The held openings that have room now, in the order of their arrival.
    std::vector<HeldOpening> takeAdmitted(Millis now);
    /// Discards the held openings after a gap between two calls, since copies may have been admitted through other balancers
    /// meanwhile; to be called with each tick, before the two functions below.
    void discardAfterGap(Millis now);
    /// Refuses the openings that have waited for too long; to be called several times a second.
    void refuseExpired(Millis now);

    bool isEmpty() const { return m_held.empty(); }
    void exposeMetrics(std::string& out) const;

private:
    void hold(const FlowKey& flow, Millis startedAt, std::span<const std::uint8_t> packet);
    void refuse(const FlowKey& flow, const BulkInputs& inputs, Millis waited);
    void discardHeld();

    BalancerState& m_state;
    std::unordered_map<FlowKey, HeldOpening> m_held;
    Millis m_lastTickAt = 0;
    /// How long held openings waited, whether admitted or refused.
    LatencyHistogram m_waits;
};

}
