#include "unresponsiveagents.h"

namespace kingcuptrail {

void recordUnanswered(UnresponsiveAgents& agents, std::uint32_t agent, Millis askedAt)
{
    agents.silentSince.try_emplace(agent, askedAt);
}

void recordMessage(UnresponsiveAgents& agents, std::uint32_t agent)
{
    agents.silentSince.erase(agent);
}

void resetSilence(UnresponsiveAgents& agents)
{
    agents.silentSince.clear();
}

void resetImplausibleSilence(UnresponsiveAgents& agents, std::size_t knownAgents)
{
    if (static_cast<double>(agents.silentSince.size()) >= agents.options.isolatedShare * static_cast<double>(knownAgents))
        resetSilence(agents);
}

bool isPresumedGone(const UnresponsiveAgents& agents, std::uint32_t agent, Millis now)
{
    const auto found = agents.silentSince.find(agent);
    return found != agents.silentSince.end() && now - found->second >= agents.options.limit;
}

}
