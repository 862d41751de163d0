#include "silentagents.h"

namespace kingcuptrail {

void noteUnanswered(SilentAgents& agents, std::uint32_t agent, Millis askedAt)
{
    agents.silentSince.try_emplace(agent, askedAt);
}

void noteHeard(SilentAgents& agents, std::uint32_t agent)
{
    agents.silentSince.erase(agent);
}

void forgetSilence(SilentAgents& agents)
{
    agents.silentSince.clear();
}

void reviewSilence(SilentAgents& agents, std::size_t knownAgents)
{
    if (static_cast<double>(agents.silentSince.size()) >= agents.options.deafShare * static_cast<double>(knownAgents))
        forgetSilence(agents);
}

bool isGivenUp(const SilentAgents& agents, std::uint32_t agent, Millis now)
{
    const auto found = agents.silentSince.find(agent);
    return found != agents.silentSince.end() && now - found->second >= agents.options.limit;
}

}
