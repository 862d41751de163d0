#include "holdersearch.h"

#include <algorithm>
#include <unordered_set>

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
    const std::unordered_set<std::uint32_t> asked(search.asked.begin(), search.asked.end());
    std::vector<std::uint32_t> missing;
    std::ranges::copy_if(agents, std::back_inserter(missing), [&asked](std::uint32_t agent) { return !asked.contains(agent); });
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

DelegatedAnswer shortenAnswer(DelegatedAnswer answer, bool isSameDirectory)
{
    if (answer.denied.size() + answer.open.size() <= maxAgentsInAnswer)
        return answer;
    if (!isSameDirectory || answer.open.size() > maxAgentsInAnswer)
        return {};
    answer.denied.clear();
    answer.haveOthersDenied = true;
    return answer;
}

DelegatedAnswer classifyDelegatedAnswer(const HolderSearch& search, std::span<const std::uint32_t> members, const DelegatedAnswer& received)
{
    DelegatedAnswer answer;
    const std::unordered_set<std::uint32_t> awaited(search.awaited.begin(), search.awaited.end());
    const std::unordered_set<std::uint32_t> denied(received.denied.begin(), received.denied.end());
    const std::unordered_set<std::uint32_t> open(received.open.begin(), received.open.end());
    for (const std::uint32_t agent : members) {
        if (denied.contains(agent) || (received.haveOthersDenied && !open.contains(agent)))
            answer.denied.push_back(agent);
        else if (!awaited.contains(agent))
            continue;
        else if (open.contains(agent))
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
