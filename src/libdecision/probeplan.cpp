#include "probeplan.h"

#include <algorithm>
#include <optional>
#include <unordered_set>
#include <utility>

namespace kingcuptrail {

namespace {

    bool contains(std::span<const std::uint32_t> agents, std::uint32_t agent)
    {
        return std::ranges::find(agents, agent) != agents.end();
    }

    /// Number of these agents that have not denied the flow yet.
    std::ptrdiff_t countUndecided(const HolderSearch& search, std::span<const std::uint32_t> agents)
    {
        return std::ranges::count_if(agents, [&](std::uint32_t agent) { return contains(search.awaited, agent) || contains(search.unsure, agent); });
    }

    bool mayNearAgentHold(const ProbePlan& plan, const HolderSearch& search, const AgentsByDataCentre& asked)
    {
        const auto near = asked.find(plan.ownDataCentre);
        return near != asked.end() && countUndecided(search, near->second) > 0;
    }

    bool mayServiceAgentHold(const ProbePlan& plan, const HolderSearch& search)
    {
        const auto isOpen = [&](const UnsureAgent& agent) { return agent.isOfService && contains(search.unsure, agent.address); };
        return !search.awaited.empty() || std::ranges::any_of(plan.waiting, isOpen) || std::ranges::any_of(plan.probed, isOpen);
    }

    /// Returns nothing when the agents of the data centre already have the packet.
    std::optional<ProbeGroup> makeProbeGroup(ProbePlan& plan, const HolderSearch& search, const AgentsByDataCentre& asked, const std::string& dataCentre, std::vector<std::uint32_t> due)
    {
        const auto all = asked.find(dataCentre);
        const bool isLarge = all != asked.end() && all->second.size() >= plan.options.minAgentsForForwarding;
        if (!isLarge)
            return ProbeGroup { .dataCentre = dataCentre, .members = std::move(due) };
        // The agent that has the packet forwards it to all agents there, including those that turn out to be unsure later.
        if (std::ranges::find(plan.forwardedDataCentres, dataCentre) != plan.forwardedDataCentres.end())
            return std::nullopt;
        if (std::cmp_less(countUndecided(search, all->second), plan.options.minAgentsForForwarding))
            return ProbeGroup { .dataCentre = dataCentre, .members = std::move(due) };
        plan.forwardedDataCentres.push_back(dataCentre);
        return ProbeGroup { .dataCentre = dataCentre, .members = all->second, .isForwarded = true };
    }

}

std::vector<std::uint32_t> addressesOf(const AgentsByDataCentre& agents)
{
    std::vector<std::uint32_t> addresses;
    for (const auto& [dataCentre, members] : agents)
        addresses.insert(addresses.end(), members.begin(), members.end());
    return addresses;
}

AgentsByDataCentre filterAgents(const AgentsByDataCentre& all, std::span<const std::uint32_t> agents)
{
    const std::unordered_set<std::uint32_t> wanted(agents.begin(), agents.end());
    AgentsByDataCentre chosen;
    for (const auto& [dataCentre, members] : all) {
        for (const std::uint32_t member : members) {
            if (wanted.contains(member))
                chosen[dataCentre].push_back(member);
        }
    }
    return chosen;
}

void addUnsureAgent(ProbePlan& plan, UnsureAgent agent)
{
    plan.waiting.push_back(std::move(agent));
}

void addProbedAgent(ProbePlan& plan, UnsureAgent agent)
{
    plan.probed.push_back(std::move(agent));
}

std::vector<ProbeGroup> nextProbes(ProbePlan& plan, const HolderSearch& search, const AgentsByDataCentre& asked, bool isNearOverdue)
{
    const bool isFarDue = isNearOverdue || !mayNearAgentHold(plan, search, asked);
    const bool areOtherServicesDue = !mayServiceAgentHold(plan, search);
    const auto isDue = [&](const UnsureAgent& agent) {
        if (!agent.isOfService)
            return areOtherServicesDue;
        return agent.dataCentre == plan.ownDataCentre || isFarDue;
    };
    const auto firstDue = std::stable_partition(plan.waiting.begin(), plan.waiting.end(), [&](const UnsureAgent& agent) { return !isDue(agent); });
    std::vector<UnsureAgent> due(std::make_move_iterator(firstDue), std::make_move_iterator(plan.waiting.end()));
    plan.waiting.erase(firstDue, plan.waiting.end());
    AgentsByDataCentre dueByDataCentre;
    for (const UnsureAgent& agent : due)
        dueByDataCentre[agent.dataCentre].push_back(agent.address);
    std::vector<ProbeGroup> groups;
    for (auto& [dataCentre, members] : dueByDataCentre) {
        if (auto group = makeProbeGroup(plan, search, asked, dataCentre, std::move(members)))
            groups.push_back(std::move(*group));
    }
    plan.probed.insert(plan.probed.end(), std::make_move_iterator(due.begin()), std::make_move_iterator(due.end()));
    return groups;
}

bool wasProbed(const ProbePlan& plan, std::uint32_t agent)
{
    return std::ranges::find(plan.probed, agent, &UnsureAgent::address) != plan.probed.end();
}

}
