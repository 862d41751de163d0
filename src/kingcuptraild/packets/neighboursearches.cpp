#include "neighboursearches.h"

#include <algorithm>
#include <functional>

namespace kingcuptrail {

namespace {

    /// Time limit of a search among neighbours, in milliseconds. The balancer probes agents without an answer long before.
    constexpr Millis neighbourSearchTimeout = 100;

}

NeighbourSearches::NeighbourSearches(AgentState& state)
    : m_state(state)
{
}

// A balancer that does not know a flow's holder asks one agent in each data centre instead of all agents, so that the number
// of its messages does not grow with the number of agents. That agent, the delegate, queries its neighbours. It may answer
// NotHeldNear for all of them only when the balancer knows the same agents there; otherwise it lists the agents that denied
// the flow, so that a directory difference about one agent leaves only that agent open.
// When all agents were restarted beside running upstreams, no agent knows its flows, and only delivering a packet of the
// flow shows whether an upstream holds it. If the balancer sent the packet to every agent itself, its links, the narrowest
// of the deployment, would carry 60 times the caller's bytes. The balancer therefore sends the packet once, and this agent
// copies it.
void NeighbourSearches::begin(const PeerMessage& message, std::uint32_t sender)
{
    const Millis now = m_state.role.clock.now();
    const HolderAnswer own = answerHolderQuery(m_state.flows, message.flow, message.acknowledged, now);
    if (own == HolderAnswer::Held) {
        sendReply(m_state, sender, { .kind = wire::PeerKind::HeldNear, .flow = message.flow, .holder = m_state.self.address });
        return;
    }
    if (m_searches.contains(message.flow)) {
        sendReply(m_state, sender, { .kind = wire::PeerKind::UnsureNear, .flow = message.flow });
        return;
    }
    const bool isProbe = !message.packet.empty();
    std::vector<std::uint32_t> agentsToAsk = neighbours(message.excluded);
    // This agent probes its own upstream as well.
    if (isProbe && own == HolderAnswer::Unsure)
        agentsToAsk.push_back(m_state.network.ownAddress());
    const bool isSameDirectory = message.digest == agentsDigestOf(m_state.network.directory(), m_state.role.settings.dataCentre, message.excluded);
    if (!isSameDirectory)
        m_state.network.compareDirectory(sender);
    m_state.network.sendToAll(agentsToAsk, { .kind = isProbe ? wire::PeerKind::Probe : wire::PeerKind::Find, .flow = message.flow, .configVersion = m_state.network.routes().version, .acknowledged = message.acknowledged, .packet = message.packet });
    const bool hasAskedNobody = agentsToAsk.empty();
    m_searches[message.flow] = { .balancer = sender, .isSameDirectory = isSameDirectory, .hasDenied = own == HolderAnswer::NotHeld, .search = beginSearch(std::move(agentsToAsk), now) };
    if (hasAskedNobody)
        finish(message.flow);
}

std::vector<std::uint32_t> NeighbourSearches::neighbours(std::span<const std::uint32_t> excluded) const
{
    std::vector<std::uint32_t> addresses = membersOf(m_state.network.directory(), m_state.role.settings.dataCentre).allAgents;
    std::erase_if(addresses, [&](std::uint32_t address) { return address == m_state.network.ownAddress() || std::ranges::find(excluded, address) != excluded.end(); });
    return addresses;
}

// An unsure answer does not end the search, since another neighbour may hold the flow.
void NeighbourSearches::handleAnswer(const PeerMessage& message, std::uint32_t sender)
{
    const auto found = m_searches.find(message.flow);
    if (found == m_searches.end())
        return;
    const SearchState state = recordAnswer(found->second.search, sender, holderAnswerOf(message.kind));
    if (state == SearchState::Found || found->second.search.awaited.empty())
        finish(message.flow);
}

void NeighbourSearches::finish(const FlowKey& flow)
{
    const auto found = m_searches.find(flow);
    const DelegatedSearch& delegated = found->second;
    DelegatedAnswer answer = summarise(delegated);
    if (delegated.search.state == SearchState::Found)
        sendReply(m_state, delegated.balancer, { .kind = wire::PeerKind::HeldNear, .flow = flow, .holder = delegated.search.holder });
    else if (answer.open.empty() && delegated.isSameDirectory)
        sendReply(m_state, delegated.balancer, { .kind = wire::PeerKind::NotHeldNear, .flow = flow });
    else
        replyUnsure(delegated.balancer, flow, shortenAnswer(std::move(answer), delegated.isSameDirectory));
    m_searches.erase(found);
}

void NeighbourSearches::replyUnsure(std::uint32_t balancer, const FlowKey& flow, DelegatedAnswer answer)
{
    sendReply(m_state, balancer, { .kind = wire::PeerKind::UnsureNear, .flow = flow, .excluded = std::move(answer.open), .denied = std::move(answer.denied), .haveOthersDenied = answer.haveOthersDenied });
}

// The agents that denied the flow and the agents that were unsure or did not answer, including this agent.
DelegatedAnswer NeighbourSearches::summarise(const DelegatedSearch& delegated) const
{
    DelegatedAnswer answer { .open = agentsWithoutDenial(delegated.search) };
    const auto isOpen = [&answer](std::uint32_t agent) { return std::ranges::find(answer.open, agent) != answer.open.end(); };
    std::ranges::copy_if(delegated.search.asked, std::back_inserter(answer.denied), std::not_fn(isOpen));
    const std::uint32_t self = m_state.network.ownAddress();
    const bool hasProbedItself = std::ranges::find(delegated.search.asked, self) != delegated.search.asked.end();
    if (!hasProbedItself)
        (delegated.hasDenied ? answer.denied : answer.open).push_back(self);
    return answer;
}

// Searches that are out of time end with an answer that lists the silent neighbours as open.
void NeighbourSearches::expire(Millis now)
{
    std::vector<FlowKey> overdue;
    for (const auto& [flow, delegated] : m_searches) {
        if (now - delegated.search.startedAt > neighbourSearchTimeout)
            overdue.push_back(flow);
    }
    for (const FlowKey& flow : overdue)
        finish(flow);
}

}
