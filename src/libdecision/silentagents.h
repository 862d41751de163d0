#pragma once

#include "ids.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace kingcuptrail {

struct SilentAgentsOptions {
    /// An agent that has left every question unanswered for this long speaks for nothing any more, in milliseconds. Longer
    /// than an agent's restart (1 s) and than callers wait for an answer to most requests (1 to 4 s): whoever waits for a
    /// flow behind it has given up. At 10 s, 13 agents that had left while the store was away kept 1,300 searches open.
    Millis limit = 6000;
    /// When this part of all agents or more is silent at once, it is this process that does not hear: it is cut off, or so
    /// loaded that its socket overflows. Half, since a data centre may be lost whole.
    double deafShare = 0.5;
};

/// The agents that have left questions about flows unanswered, by their address, as one balancer knows.
/// Load: a host is taken away without a word and its agent is in the directory for good. Harm: no search for a lost flow
/// ends for certain again, and callers of flows that are lost later wait for their deadlines. An agent that is cut off
/// comes back into the count with its first message.
struct SilentAgents {
    SilentAgentsOptions options;
    std::unordered_map<std::uint32_t, Millis> silentSince;
};

/// An agent has left a question unanswered that was asked at `askedAt`.
void noteUnanswered(SilentAgents&, std::uint32_t agent, Millis askedAt);

/// An agent has said something.
void noteHeard(SilentAgents&, std::uint32_t agent);

/// The process itself stood still: what it did not hear meanwhile tells nothing.
void forgetSilence(SilentAgents&);

/// Forgets all silence when too many of `knownAgents` are silent at once; to be called several times a second.
void reviewSilence(SilentAgents&, std::size_t knownAgents);

/// Whether the agent has been silent for so long that a flow is lost for certain without its word.
bool isGivenUp(const SilentAgents&, std::uint32_t agent, Millis now);

}
