#include "neighboursearches.h"

namespace kingcuptrail {

namespace {

    /// How long a search among neighbours may last, in milliseconds: the balancer has asked everybody itself long before.
    constexpr Millis nearSearchLimit = 100;

}

NeighbourSearches::NeighbourSearches(AgentState& state)
    : m_state(state)
{
}

// A balancer that does not know a flow asks one agent in each data centre instead of all agents, so that a search costs it
// some messages however many agents there are. This one asks its neighbours. Only when both know the same processes does
// its no speak for all of them.
void NeighbourSearches::begin(const PeerMessage& message, std::uint32_t sender)
{
    const Millis now = m_state.role.clock.now();
    const HolderAnswer own = answerHolderQuestion(m_state.flows, message.flow, message.acknowledged, now);
    if (own == HolderAnswer::Held) {
        reply(m_state, sender, { .kind = wire::PeerKind::HeldNear, .flow = message.flow, .holder = m_state.self.address });
        return;
    }
    const bool canSpeakForAll = own == HolderAnswer::NotHeld && message.digest == m_state.network.digest() && !m_searches.contains(message.flow);
    if (!canSpeakForAll) {
        reply(m_state, sender, { .kind = wire::PeerKind::UnsureNear, .flow = message.flow });
        return;
    }
    std::vector<std::uint32_t> neighbours;
    for (const auto& [name, entry] : m_state.network.directory().entries) {
        const bool isNeighbour = entry.role == PeerRole::Agent && entry.state != PeerState::Gone && entry.dataCentre == m_state.role.settings.dataCentre;
        if (isNeighbour && entry.address != m_state.self.address)
            neighbours.push_back(entry.address);
    }
    if (neighbours.empty()) {
        reply(m_state, sender, { .kind = wire::PeerKind::NotHeldNear, .flow = message.flow });
        return;
    }
    m_state.network.sendToAll(neighbours, { .kind = wire::PeerKind::Find, .flow = message.flow, .configVersion = m_state.network.routes().version, .acknowledged = message.acknowledged });
    m_searches[message.flow] = { .balancer = sender, .search = beginSearch(std::move(neighbours), now) };
}

void NeighbourSearches::handleAnswer(const PeerMessage& message, std::uint32_t sender)
{
    const auto found = m_searches.find(message.flow);
    if (found == m_searches.end())
        return;
    const HolderAnswer answer = holderAnswerOf(message.kind);
    const SearchState state = takeAnswer(found->second.search, sender, answer);
    if (state == SearchState::Found)
        finish(message.flow, wire::PeerKind::HeldNear, sender);
    else if (state == SearchState::HeldByNobody)
        finish(message.flow, wire::PeerKind::NotHeldNear);
    else if (answer == HolderAnswer::Unsure)
        finish(message.flow, wire::PeerKind::UnsureNear);
}

void NeighbourSearches::finish(const FlowKey& flow, wire::PeerKind answer, std::uint32_t holder)
{
    const auto found = m_searches.find(flow);
    reply(m_state, found->second.balancer, { .kind = answer, .flow = flow, .holder = holder });
    m_searches.erase(found);
}

// A neighbour that stays silent makes the answer unsure; the balancer then asks each agent itself.
void NeighbourSearches::expire(Millis now)
{
    std::erase_if(m_searches, [now](const auto& item) { return now - item.second.search.startedAt > nearSearchLimit; });
}

}
