#pragma once

#include "agentstate.h"
#include "libdecision/admissionqueue.h"
#include "libplatform/delay.h"

namespace kingcuptrail {

/// Admits openings to an agent's upstream, queues them until the upstream has room, or refuses them.
class ConnectionAdmission {
public:
    explicit ConnectionAdmission(AgentState& state);

    /// Handles an opening that a balancer offers.
    void open(const PeerMessage& message, std::uint32_t sender);
    /// Refuses queued openings whose wait has expired, and admits others while the upstream has room.
    void admitWaiting();
    /// Hands all openings that the upstream has not answered back to their balancers, since its process has ended. Returns
    /// their number.
    std::size_t returnOpenings();
    void refuse(const FlowKey& flow, std::span<const std::uint8_t> packet, std::uint32_t balancer, OpeningRefusal refusal, std::string_view service = {});

    void exposeMetrics(std::string& out) const;

private:
    /// The times of an opening that was queued, in milliseconds; both are 0 for one that was admitted at once.
    struct QueueTimes {
        Millis waited = 0;
        /// How long it could wait for a timely answer, since its caller sent it first.
        Millis timelyWait = 0;
    };

    /// What the balancer has said about an opening.
    struct Offer {
        std::string_view service;
        /// The version of its configuration; 0 if it no longer counts.
        ConfigVersion version = 0;
        bool needsFreeSlot = false;
    };

    OpeningRequest requestOf(const FlowKey& flow, const Offer& offer) const;
    OpeningRefusal checkAdmission(const FlowKey& flow, const Offer& offer, Millis now);
    void admit(const FlowKey& flow, std::span<const std::uint8_t> packet, std::uint32_t balancer, const QueueTimes& times);
    void enqueueOpening(const PeerMessage& message, std::uint32_t sender, std::uint32_t retransmissions);
    void startQueueTimer();
    void updateWaitingCount();

    AgentState& m_state;
    AdmissionQueue m_queue;
    Delay m_queueTimer;
    bool m_isQueueTimerOn = false;
    LatencyHistogram m_waitTimes;
    std::uint64_t m_byNewerVersion = 0;
};

}
