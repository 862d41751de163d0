#pragma once

#include "directory.h"

#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuptrail {

/// What a balancer knows of one agent's load, from the agent's own answers.
struct AgentLoad {
    /// Requests that the upstream works on or that wait there.
    std::uint32_t atWork = 0;
    std::uint32_t slots = 1;
    /// Work for each slot, smoothed over some requests: what lasts of a load. The work of this moment is gone before its
    /// news is old, and chosen by it all balancers take the same agent at once.
    float usual = 0;
    bool isCold = false;
    Millis heardAt = 0;
    /// Openings that this balancer has sent there since it last heard.
    std::uint32_t sentSince = 0;
    /// Opening packets in a row that it did not answer.
    std::uint32_t unanswered = 0;
    /// Refused its last opening, and until when that is taken to hold.
    Millis refusesUntil = 0;
};

struct AgentChoiceOptions {
    /// How much fuller than the least loaded agent one in the balancer's own data centre may be and still be chosen, in
    /// parts of all slots: it saves the bytes between data centres, and costs no waiting while slots are free.
    double nearAllowance = 0.4;
    /// How full an agent of the own data centre may be to be preferred at all: above, a request would wait there.
    double nearLimit = 0.9;
    /// What a cold agent counts as fuller: a cold upstream works about half as fast, and admits a few a second only.
    double coldSurcharge = 1.0;
};

/// An agent that may get a flow, as the choice sees it.
struct AgentCandidate {
    std::uint32_t address = 0;
    bool isNear = false;
    AgentLoad load;
};

/// The agents to offer a flow to, best first.
/// Load: many short flows beside a few long ones, over upstreams that are filled by several balancers at once. Harm: by
/// open flows or by turns, work piles up behind long requests. Agents count requests at work; of equal ones a hash of the
/// flow chooses, so that balancers with the same news do not all take the same agent.
std::vector<std::uint32_t> chooseAgents(const FlowKey&, std::span<const AgentCandidate>, const AgentChoiceOptions&, Millis now);

}
