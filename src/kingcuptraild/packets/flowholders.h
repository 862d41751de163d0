#pragma once

#include "libdecision/flowadmission.h"
#include "libdecision/probeplan.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuptrail {

using PacketBytes = std::vector<std::uint8_t>;

/// An opening packet that is offered to one agent after the other.
struct PendingOpening {
    PacketBytes packet;
    /// The service that the configuration gave the flow at the last choice of an agent, and that configuration's version.
    std::string service;
    ConfigVersion version = 0;
    std::vector<std::uint32_t> triedAgents;
    /// The agent whose answer is awaited; 0 when there is no agent to offer the opening to.
    std::uint32_t agent = 0;
    Millis startedAt = 0;
    Millis offeredAt = 0;
    /// The reason of the last refusal.
    OpeningRefusal lastRefusal = OpeningRefusal::None;
    /// Agents that refused the opening because they had no room.
    std::uint32_t busyAgents = 0;
    /// At least one agent refused for a transient reason.
    bool hasTransientRefusal = false;
};

/// Cache entry for the agent that holds a flow. It may be out of date; only the agent itself knows for certain.
struct CachedHolder {
    std::uint32_t agent = 0;
    Millis usedAt = 0;
    /// The number that the caller last acknowledged in a packet that arrived here; 0 if there was none. A reset needs it.
    std::uint32_t acknowledged = 0;
    /// The caller has ended or reset the flow here; a reset would mean nothing to it.
    bool hasEnded = false;
};

/// A query to one agent, the delegate, which answers on behalf of all agents of its data centre.
struct DelegateQuery {
    std::uint32_t address = 0;
    /// The agents that its answer covers. An agent that became known after the query is not among them.
    std::vector<std::uint32_t> members;
};

/// A search for the holder of a flow and the packets that wait for its end.
struct PendingSearch {
    HolderSearch search;
    std::vector<PacketBytes> packets;
    /// Queries to delegates that are still unanswered.
    std::vector<DelegateQuery> delegateQueries;
    /// All agents that were asked, directly or through another agent.
    AgentsByDataCentre asked;
    /// Decides which of the unsure agents are probed with the first packet, and when.
    ProbePlan plan;
    /// Only the most probable holders have been asked so far.
    bool asksLikelyHolders = false;
    /// The time for answers has passed once, and agents that had not answered by then are treated as unsure.
    bool hasProbedLateAgents = false;
    /// The number that the caller last acknowledged; a reset needs it.
    std::uint32_t acknowledged = 0;
};

}
