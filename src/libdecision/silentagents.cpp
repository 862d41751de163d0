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

bool isGivenUp(const SilentAgents& agents, std::uint32_t agent, Millis now)
{
    const auto found = agents.silentSince.find(agent);
    return found != agents.silentSince.end() && now - found->second >= agents.options.limit;
}

}
