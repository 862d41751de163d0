#pragma once

#include "directory.h"

#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuptrail {

/// The load of one agent as a balancer knows it from the agent's messages.
struct AgentLoad {
    /// Requests that the upstream is processing or that wait at its agent.
    std::uint32_t atWork = 0;
    std::uint32_t slots = 1;
    /// Requests per slot, smoothed over several requests. The momentary number changes faster than it reaches the
    /// balancers, and choosing by it would send all balancers to the same agent at once.
    float usual = 0;
    bool isCold = false;
    Millis receivedAt = 0;
    /// Openings that this balancer has sent to the agent since its last load report.
    std::uint32_t sentSinceReport = 0;
    /// Consecutive opening packets that the agent did not answer.
    std::uint32_t unanswered = 0;
    /// The agent refused its last opening, and is expected to refuse others until this time.
    Millis refusesUntil = 0;
};

struct AgentChoiceOptions {
    /// An agent in the balancer's own data centre is preferred to the least loaded agent if its load is higher by at most
    /// this fraction of all slots. This saves traffic between data centres and adds no waiting while slots are free.
    double nearAllowance = 0.4;
    /// An agent of the own data centre is preferred only below this load per slot; above it a request would wait there.
    double nearLimit = 0.9;
    /// Added to the load of a cold agent. A cold upstream works about half as fast and may admit only a few requests a
    /// second.
    double coldPenalty = 1.0;
};

/// An agent that a flow may be offered to.
struct AgentCandidate {
    std::uint32_t address = 0;
    bool isNear = false;
    AgentLoad load;
};

/// The agents to offer a flow to, best first. Agents are ranked by the number of requests in progress, since choosing by
/// open flows or round robin lets work pile up behind long requests. Among equally loaded agents a hash of the flow
/// decides, so that balancers with the same load reports don't all choose the same agent.
std::vector<std::uint32_t> chooseAgents(const FlowKey&, std::span<const AgentCandidate>, const AgentChoiceOptions&, Millis now);

/// Up to `count` of these agents, the most probable holder of the flow first. Agents with equal loads are ranked by the flow's
/// hash, so while upstreams have free slots most flows are opened at the agent that the hash ranks first, and any balancer can
/// tell which one that is.
std::vector<std::uint32_t> likelyHolders(const FlowKey&, std::span<const std::uint32_t> agents, std::size_t count);

}
