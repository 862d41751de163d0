#pragma once

#include "balancerstate.h"

namespace kingcuptrail {

/// Finds the agent that holds a flow which is not in the balancer's cache. Packets of the flow wait until it is found.
/// In a data centre with many agents only one of them is asked: the delegate, which queries the others.
class HolderFinder {
public:
    explicit HolderFinder(BalancerState& state);

    /// Starts a search for the holder of a packet's flow, or adds the packet to the search that is already running.
    void search(const FlowKey& flow, const PacketHeader& header, std::span<const std::uint8_t> packet);
    /// Handle an agent's answer for itself, and a delegate's answer for all agents of its data centre.
    void handleHolderAnswer(const PeerMessage& message, std::uint32_t sender);
    void handleDelegatedAnswer(const PeerMessage& message, std::uint32_t sender);
    /// Counts the agents of a data centre that was lost as having denied the flows of all running searches.
    void handleLostDataCentre(const std::string& dataCentre);
    /// Probes agents whose answers are late and ends searches that took too long; to be called several times a second.
    void tick(Millis now);

    void exposeMetrics(std::string& out) const;

private:
    AgentsByDataCentre possibleHolders(const std::string* service) const;
    AgentsByDataCentre agentsToQuery(const std::string* service) const;
    void begin(const FlowKey& flow, PendingSearch& waiting);
    bool askLikelyHolders(const FlowKey& flow, PendingSearch& waiting, const std::string* service);
    void askOtherAgents(const FlowKey& flow, PendingSearch& waiting, const AgentsByDataCentre& known, std::span<const std::uint32_t> missing);
    void widenSearches(Millis now);
    void beginDeferredSearches();
    void queryAgents(const FlowKey& flow, PendingSearch& waiting, const AgentsByDataCentre& agents);
    void queryDelegate(const FlowKey& flow, PendingSearch& waiting, const std::string& dataCentre, std::span<const std::uint32_t> members, std::span<const std::uint8_t> packet);
    void queryDirectly(const FlowKey& flow, const PendingSearch& waiting, std::span<const std::uint32_t> agents);
    void probeLateAgents(Millis now);
    std::vector<std::uint32_t> agentsPresumedGoneIn(const std::string& dataCentre) const;
    void endConfirmedSearches();
    static bool hasTimedOut(const HolderSearch& search, Millis now);
    std::uint32_t nextDelegate(std::span<const std::uint32_t> members);
    void handleUnsureDelegate(const PeerMessage& message, PendingSearch& waiting, std::span<const std::uint32_t> members);
    void markUnsureAndProbe(const FlowKey& flow, PendingSearch& waiting, std::span<const std::uint32_t> agents);
    void sendProbes(const FlowKey& flow, PendingSearch& waiting, bool isNearOverdue);
    void updateSearch(const FlowKey& flow, SearchState state);
    bool isDirectoryComplete() const;
    void endUncertainSearch(const FlowKey& flow, const HolderSearch& search, Millis now);

    BalancerState& m_state;
    std::unordered_map<FlowKey, PendingSearch> m_searches;
    std::size_t m_delegateIndex = 0;
    Millis m_lastTickAt = 0;
    EnumCounters<SearchState> m_searchOutcomes;
};

}
