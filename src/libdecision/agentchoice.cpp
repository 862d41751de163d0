#include "agentchoice.h"

#include "ranking.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    struct ScoredAgent {
        std::uint32_t address = 0;
        double score = 0;
        std::uint64_t tieBreaker = 0;
    };

    /// Larger than any load, so that an agent that does not answer or has just refused comes after all others.
    constexpr double unavailablePenalty = 1000.0;
    /// Loads that differ by less than this fraction of all slots count as equal, and the hash decides.
    constexpr double scoreStep = 0.2;

    /// Openings in an agent's queue wait for longer than a load report takes to arrive, so a load of more than twice the
    /// slots counts unsmoothed.
    double loadOf(const AgentLoad& load)
    {
        const double slots = std::max(load.slots, 1U);
        const double waiting = load.atWork > 2 * load.slots ? static_cast<double>(load.atWork) / slots : 0;
        return std::max(static_cast<double>(load.usual), waiting) + load.sentSinceReport / slots;
    }

    double scoreOf(const AgentCandidate& candidate, const AgentChoiceOptions& options, Millis now)
    {
        const AgentLoad& load = candidate.load;
        double score = loadOf(load);
        const bool isPreferred = candidate.isNear && score < options.nearLimit;
        score -= isPreferred ? options.nearAllowance : 0;
        score += load.isCold ? options.coldPenalty : 0;
        if (load.unanswered > 0)
            score += unavailablePenalty * 2;
        else if (now < load.refusesUntil)
            score += unavailablePenalty;
        return score;
    }

}

std::vector<std::uint32_t> chooseAgents(const FlowKey& flow, std::span<const AgentCandidate> candidates, const AgentChoiceOptions& options, Millis now)
{
    std::vector<ScoredAgent> scored;
    scored.reserve(candidates.size());
    const std::uint64_t hash = flowHash(flow);
    for (const AgentCandidate& candidate : candidates) {
        // Keeps rounding errors in a sum of tenths from placing a score just below its step.
        constexpr double rounding = 0.0005;
        const double steps = std::max(0.0, scoreOf(candidate, options, now) + options.nearAllowance + rounding) / scoreStep;
        const std::uint64_t tieBreaker = rankWeight(hash, candidate.address);
        scored.push_back({ .address = candidate.address, .score = static_cast<double>(static_cast<std::uint64_t>(steps)), .tieBreaker = tieBreaker });
    }
    std::ranges::sort(scored, [](const ScoredAgent& left, const ScoredAgent& right) {
        return left.score != right.score ? left.score < right.score : left.tieBreaker < right.tieBreaker;
    });
    std::vector<std::uint32_t> order;
    order.reserve(scored.size());
    for (const ScoredAgent& each : scored)
        order.push_back(each.address);
    return order;
}

std::vector<std::uint32_t> likelyHolders(const FlowKey& flow, std::span<const std::uint32_t> agents, std::size_t count)
{
    const std::uint64_t hash = flowHash(flow);
    std::vector<std::pair<std::uint64_t, std::uint32_t>> weighted;
    weighted.reserve(agents.size());
    for (const std::uint32_t agent : agents)
        weighted.emplace_back(rankWeight(hash, agent), agent);
    const std::size_t size = std::min(count, weighted.size());
    std::ranges::partial_sort(weighted, weighted.begin() + static_cast<std::ptrdiff_t>(size));
    std::vector<std::uint32_t> likely;
    for (std::size_t index = 0; index < size; ++index)
        likely.push_back(weighted[index].second);
    return likely;
}

}
