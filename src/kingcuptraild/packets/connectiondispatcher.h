#pragma once

#include "bulkgate.h"
#include "libdecision/offerpolicy.h"

namespace kingcuptrail {

/// Offers each opening to one agent after the other until one admits it, and resets the flow when none does.
class ConnectionDispatcher {
public:
    explicit ConnectionDispatcher(BalancerState& state);

    /// Handles a caller's opening packet: the first one or a retransmission. `retransmissions` is the number of
    /// retransmissions so far.
    void open(const FlowKey& flow, std::uint32_t retransmissions, std::span<const std::uint8_t> packet);
    /// Handle the answers of agents.
    void handleAdmitted(const PeerMessage& message, std::uint32_t sender);
    void handleRefused(const PeerMessage& message, std::uint32_t sender);
    /// Offers again openings that were not answered in time and openings that all agents refused for a transient reason.
    void retryOffers(Millis now);

    /// Records any packet that a caller sent, before it is handled. It may make room for openings that wait for the link.
    void recordPacket(const FlowKey& flow, const PacketHeader& header, std::size_t bytes);
    /// Refuses openings that have waited too long for the link, and offers those for which it has room now.
    void updateWaitingOpenings(Millis now);

    bool isEmpty() const { return m_openings.empty() && m_bulkGate.isEmpty(); }
    void exposeMetrics(std::string& out) const;

private:
    void offerNew(const FlowKey& flow, Millis startedAt, PacketBytes packet);
    void offerAdmitted(Millis now);
    void offerToNext(const FlowKey& flow, PendingOpening& opening);
    void offerTo(std::uint32_t agent, const FlowKey& flow, PendingOpening& opening);
    void offerToLeastLoaded(const FlowKey& flow, PendingOpening& opening);
    void rejectOpening(const FlowKey& flow, const PendingOpening& opening, ResetReason reason);
    std::vector<std::uint32_t> rankAgents(const FlowKey& flow, const std::string& service) const;
    void handleBusyRefusal(const FlowKey& flow, PendingOpening& opening, std::uint32_t sender);

    BalancerState& m_state;
    BulkGate m_bulkGate;
    AgentChoiceOptions m_choiceOptions;
    OfferPolicy m_offerPolicy;
    std::unordered_map<FlowKey, PendingOpening> m_openings;
    LatencyHistogram m_openingTimes;
};

}
