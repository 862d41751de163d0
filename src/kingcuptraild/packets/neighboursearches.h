#pragma once

#include "agentstate.h"
#include "libdecision/holdersearch.h"

namespace kingcuptrail {

/// Searches for the holder of a flow that an agent makes for a balancer among the agents of its data centre, as delegate.
class NeighbourSearches {
public:
    explicit NeighbourSearches(AgentState& state);

    /// Handles a balancer's query for the whole data centre. The query carries a packet of the flow if agents were unsure
    /// before.
    void begin(const PeerMessage& message, std::uint32_t sender);
    /// Handles a neighbour's answer.
    void handleAnswer(const PeerMessage& message, std::uint32_t sender);
    void expire(Millis now);

private:
    struct DelegatedSearch {
        std::uint32_t balancer = 0;
        /// The balancer and this agent know the same agents in this data centre.
        bool isSameDirectory = false;
        /// This agent itself does not hold the flow.
        bool hasDenied = false;
        HolderSearch search;
    };

    std::vector<std::uint32_t> neighbours(std::span<const std::uint32_t> excluded) const;
    void finish(const FlowKey& flow);
    DelegatedAnswer summarise(const DelegatedSearch& near) const;
    void replyUnsure(std::uint32_t balancer, const FlowKey& flow, DelegatedAnswer answer);

    AgentState& m_state;
    std::unordered_map<FlowKey, DelegatedSearch> m_searches;
};

}
