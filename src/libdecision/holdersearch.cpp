#include "holdersearch.h"

#include <algorithm>

namespace kingcuptrail {

HolderSearch beginSearch(std::vector<std::uint32_t> agents, Millis now)
{
    HolderSearch search { .startedAt = now, .asked = agents };
    search.awaited = std::move(agents);
    return search;
}

// The list of agents may have grown since the search began, since a process that has just started learns it step by step.
// Answers of the agents known first don't show that the others don't hold the flow.
std::vector<std::uint32_t> addMissingAgents(HolderSearch& search, std::span<const std::uint32_t> agents)
{
    std::vector<std::uint32_t> missing;
    for (const std::uint32_t agent : agents) {
        if (std::ranges::find(search.asked, agent) == search.asked.end())
            missing.push_back(agent);
    }
    search.asked.insert(search.asked.end(), missing.begin(), missing.end());
    search.awaited.insert(search.awaited.end(), missing.begin(), missing.end());
    if (!missing.empty() && search.state == SearchState::HeldByNobody)
        search.state = SearchState::Asking;
    return missing;
}

SearchState removeAgents(HolderSearch& search, std::span<const std::uint32_t> agents)
{
    for (const std::uint32_t agent : agents) {
        for (auto* list : { &search.asked, &search.awaited, &search.unsure })
            std::erase(*list, agent);
    }
    if (search.state == SearchState::Asking && !search.asked.empty() && search.awaited.empty() && search.unsure.empty())
        search.state = SearchState::HeldByNobody;
    return search.state;
}

std::vector<std::uint32_t> agentsWithoutDenial(const HolderSearch& search)
{
    std::vector<std::uint32_t> agents = search.awaited;
    agents.insert(agents.end(), search.unsure.begin(), search.unsure.end());
    return agents;
}

std::vector<std::uint32_t> awaitedOf(const HolderSearch& search, std::span<const std::uint32_t> agents)
{
    std::vector<std::uint32_t> awaited;
    std::ranges::copy_if(agents, std::back_inserter(awaited), [&](std::uint32_t agent) { return std::ranges::find(search.awaited, agent) != search.awaited.end(); });
    return awaited;
}

DelegatedAnswer classifyDelegatedAnswer(const HolderSearch& search, std::span<const std::uint32_t> members, std::span<const std::uint32_t> denied, std::span<const std::uint32_t> open)
{
    DelegatedAnswer answer;
    for (const std::uint32_t agent : members) {
        const bool isAwaited = std::ranges::find(search.awaited, agent) != search.awaited.end();
        if (std::ranges::find(denied, agent) != denied.end())
            answer.denied.push_back(agent);
        else if (!isAwaited)
            continue;
        else if (std::ranges::find(open, agent) != open.end())
            answer.open.push_back(agent);
        else
            answer.unknown.push_back(agent);
    }
    return answer;
}

SearchState recordAnswer(HolderSearch& search, std::uint32_t agent, HolderAnswer answer)
{
    if (search.state == SearchState::Found)
        return search.state;
    // This also counts after all agents that were asked have denied the flow: the holder may be an agent that was left out
    // or was missing from the directory.
    if (answer == HolderAnswer::Held) {
        search.holder = agent;
        search.state = SearchState::Found;
        return search.state;
    }
    if (search.state == SearchState::HeldByNobody)
        return search.state;
    const bool wasAsked = std::erase(search.awaited, agent) > 0;
    const bool wasUnsure = std::erase(search.unsure, agent) > 0;
    if (!wasAsked && !wasUnsure)
        return search.state;
    if (answer == HolderAnswer::Unsure)
        search.unsure.push_back(agent);
    // An agent that does not answer may be cut off or paused while its upstream still holds the flow. Only a denial from
    // every agent proves that no upstream holds it.
    if (search.awaited.empty() && search.unsure.empty())
        search.state = SearchState::HeldByNobody;
    return search.state;
}

}
