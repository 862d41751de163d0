#pragma once

#include "balancerstate.h"

namespace kingcuptrail {

/// Finds the agent that holds a flow which is not in the balancer's cache. Packets of the flow wait until it is found.
/// In a data centre with many agents only one of them is asked: the delegate, which queries the others.
class HolderFinder {
public:
    explicit HolderFinder(BalancerState& state);

    /// Starts a search for the holder of a packet's flow, or adds the packet to the search that is already running.
    void search(const FlowKey& flow, const PacketHeader& head, std::span<const std::uint8_t> packet);
    /// Handle an agent's answer for itself, and a delegate's answer for all agents of its data centre.
    void handleHolderAnswer(const PeerMessage& message, std::uint32_t sender);
    void handleNearAnswer(const PeerMessage& message, std::uint32_t sender);
    /// Probes agents whose answers are late and ends searches that took too long; to be called several times a second.
    void turn(Millis now);

    void exposeMetrics(std::string& out) const;

private:
    AgentsByDataCentre possibleHolders(const std::string* service) const;
    AgentsByDataCentre holdersToAsk(const std::string* service) const;
    void begin(const FlowKey& flow, WaitingSearch& waiting);
    void beginLate();
    void ask(const FlowKey& flow, WaitingSearch& waiting, const AgentsByDataCentre& agents);
    void askSpeaker(const FlowKey& flow, WaitingSearch& waiting, const std::string& dataCentre, std::span<const std::uint32_t> members, std::span<const std::uint8_t> packet);
    void askDirectly(const FlowKey& flow, const WaitingSearch& waiting, std::span<const std::uint32_t> agents);
    void probeOverdue(Millis now);
    std::vector<std::uint32_t> givenUpIn(const std::string& dataCentre) const;
    void settleConfirmed();
    static bool isOver(const HolderSearch& search, Millis now);
    std::uint32_t nextSpeaker(std::span<const std::uint32_t> members);
    void takeNearUnsure(const PeerMessage& message, WaitingSearch& waiting, std::span<const std::uint32_t> members);
    void takeUnsure(const FlowKey& flow, WaitingSearch& waiting, std::span<const std::uint32_t> agents);
    void probe(const FlowKey& flow, WaitingSearch& waiting, bool isNearOverdue);
    void settleSearch(const FlowKey& flow, SearchState state);
    bool canBeCertain() const;
    void endUncertain(const FlowKey& flow, const HolderSearch& search, Millis now);

    BalancerState& m_state;
    std::unordered_map<FlowKey, WaitingSearch> m_searches;
    std::size_t m_speakerTurn = 0;
    Millis m_turnedAt = 0;
    EnumCounters<SearchState> m_searchEnds;
};

}
