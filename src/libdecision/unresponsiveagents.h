#pragma once

#include "ids.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace kingcuptrail {

struct UnresponsiveAgentsOptions {
    /// An agent that has left every query unanswered for this long is presumed gone, in milliseconds. Longer than an
    /// agent's restart (1 s) and than callers wait for an answer to most requests (1 to 4 s), so that callers of flows
    /// behind it have given up. At 10 s, 13 agents that had left while the store was unavailable kept 1,300 searches open.
    Millis limit = 6000;
    /// If at least this fraction of all agents is silent at once, the fault is taken to be in this process: it is cut off,
    /// or so loaded that its socket overflows. Half, since a whole data centre may fail.
    double isolatedShare = 0.5;
};

/// The agents, by address, that have left one balancer's queries about flows unanswered. When a host is removed without
/// notice, its agent stays in the directory. If searches waited for it, none would end with certainty, and callers of lost
/// flows would wait for their deadlines. An agent that was cut off counts again with its first message.
struct UnresponsiveAgents {
    UnresponsiveAgentsOptions options;
    std::unordered_map<std::uint32_t, Millis> silentSince;
};

/// Records that an agent has not answered a query that was sent at `askedAt`.
void recordUnanswered(UnresponsiveAgents&, std::uint32_t agent, Millis askedAt);

/// Records that a message from an agent arrived.
void recordMessage(UnresponsiveAgents&, std::uint32_t agent);

/// Clears all records after the process was paused, since it could not receive answers meanwhile.
void resetSilence(UnresponsiveAgents&);

/// Clears all records when too many of `knownAgents` are silent at once; to be called several times a second.
void resetImplausibleSilence(UnresponsiveAgents&, std::size_t knownAgents);

/// Whether the agent has been silent for so long that a flow counts as lost without its answer.
bool isPresumedGone(const UnresponsiveAgents&, std::uint32_t agent, Millis now);

}
