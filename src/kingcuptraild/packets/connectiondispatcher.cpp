#include "connectiondispatcher.h"

#include "libdecision/openingschedule.h"
#include "libruntime/events.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// How long an agent may take to answer an offer before the next agent gets it, in milliseconds. Below the time after
    /// which the caller retransmits.
    constexpr Millis answerLimit = 60;
    /// How long after its start a process may still be missing agents in its directory, in milliseconds.
    constexpr Millis learningTime = 2000;
    /// How long to wait before an opening that every agent refused for a transient reason is offered again, in milliseconds.
    constexpr Millis againInterval = 40;
    /// Openings offered again in one tick, so that a backlog does not delay the packets of a balancer on a small host.
    constexpr std::size_t offersInTurn = 12;
    /// How long an agent ranks behind the others after a refusal, in milliseconds.
    constexpr Millis refusalTime = 100;

}

ConnectionDispatcher::ConnectionDispatcher(BalancerState& state)
    : m_state(state)
{
}

void ConnectionDispatcher::open(const FlowKey& flow, std::uint32_t copies, std::span<const std::uint8_t> packet)
{
    const Millis now = m_state.role.clock.now();
    // After a pause of this process the socket still holds openings whose callers have since moved to other balancers.
    if (m_state.network.isInDoubt()) {
        m_state.fates.increment(PacketFate::NoView);
        return;
    }
    // A retransmission goes to the agent that admitted the first packet, so that a flow is not opened at two agents. If that
    // agent has left an offer unanswered, the opening is offered anew.
    if (const auto holder = m_state.holders.find(flow); holder != m_state.holders.end()) {
        if (m_state.loads[holder->second.agent].unanswered == 0) {
            holder->second.usedAt = now;
            m_state.network.send(holder->second.agent, { .kind = wire::PeerKind::Open, .flow = flow, .configVersion = m_state.network.routes().version, .packet = packet });
            m_state.fates.increment(PacketFate::Offered);
            return;
        }
        m_state.holders.erase(holder);
    }
    const auto [found, isNew] = m_openings.try_emplace(flow);
    Opening& opening = found->second;
    opening.packet = copyOf(packet);
    if (!isNew)
        return;
    opening.startedAt = now - minOpeningAge(copies);
    offerToNext(flow, opening);
}

// Offers an opening to the best agent that has not had it yet. Without a configuration or agents the opening waits: a process
// that has just started learns both within a few round trips, while a retransmission of the caller would take 200 ms.
void ConnectionDispatcher::offerToNext(const FlowKey& flow, Opening& opening)
{
    const Millis now = m_state.role.clock.now();
    opening.agent = 0;
    opening.offeredAt = now;
    if (m_state.network.routes().version == 0 || m_state.network.isInDoubt()) {
        m_state.fates.increment(PacketFate::NoView);
        return;
    }
    const std::string* service = serviceForFlow(m_state.network.routes(), flow);
    if (!service) {
        finishRefused(flow, opening, ResetReason::NoRoute);
        return;
    }
    const std::vector<std::uint32_t> order = agentsFor(flow, *service);
    const auto next = std::ranges::find_if(order, [&](std::uint32_t agent) { return std::ranges::find(opening.tried, agent) == opening.tried.end(); });
    // The directory of a process that has just started may be incomplete.
    const bool isNew = now - m_state.startedAt < learningTime;
    if (next == order.end() && (opening.mayTryAgain || isNew) && now - opening.startedAt < maxOpeningWait()) {
        opening.tried.clear();
        opening.mayTryAgain = false;
        return;
    }
    if (next == order.end()) {
        finishRefused(flow, opening, opening.tried.empty() ? ResetReason::NoAgent : ResetReason::RefusedByAll);
        return;
    }
    opening.tried.push_back(*next);
    offerTo(*next, flow, opening);
    const AgentLoad& load = m_state.loads[*next];
    logFlowEvent(Event::FlowOffered, flow, { { "agent", addressText(*next) }, { "service", *service }, { "atWork", load.atWork }, { "loadAge", static_cast<std::uint64_t>(now - load.heardAt) }, { "candidates", order.size() }, { "try", opening.tried.size() }, { "version", m_state.network.routes().version } });
}

void ConnectionDispatcher::offerTo(std::uint32_t agent, const FlowKey& flow, Opening& opening)
{
    opening.agent = agent;
    ++m_state.loads[agent].sentSinceReport;
    m_state.network.send(agent, { .kind = wire::PeerKind::Open, .flow = flow, .configVersion = m_state.network.routes().version, .needsFreeSlot = needsFreeSlot(m_busyAgents, opening.busyAgents), .packet = opening.packet });
    m_state.fates.increment(PacketFate::Offered);
}

// None of the agents that got the opening has a free slot. It is queued at the one with the least work for each slot,
// according to the load in their refusals.
void ConnectionDispatcher::offerToWait(const FlowKey& flow, Opening& opening)
{
    const auto workOf = [this](std::uint32_t agent) {
        const AgentLoad& load = m_state.loads[agent];
        return static_cast<double>(load.atWork) / std::max(load.slots, 1U);
    };
    const auto least = std::ranges::min_element(opening.tried, {}, workOf);
    opening.offeredAt = m_state.role.clock.now();
    offerTo(*least, flow, opening);
}

// Resets the flow and erases its opening; `opening` is invalid afterwards.
void ConnectionDispatcher::finishRefused(const FlowKey& flow, const Opening& opening, ResetReason reason)
{
    logFlowEvent(Event::FlowRefused, flow, { { "reason", nameOf(reason) }, { "lastRefusal", nameOf(opening.lastRefusal) }, { "tried", opening.tried.size() }, { "version", m_state.network.routes().version } });
    sendReset(m_state, flow, 0, reason);
    m_openings.erase(flow);
}

std::vector<std::uint32_t> ConnectionDispatcher::agentsFor(const FlowKey& flow, const std::string& service) const
{
    std::vector<AgentCandidate> candidates;
    for (const PeerEntry* entry : readyAgentsOf(m_state.network.directory(), service)) {
        if (isDataCentreOut(m_state.network.outages(), entry->dataCentre))
            continue;
        AgentCandidate candidate { .address = entry->address, .isNear = entry->dataCentre == m_state.role.settings.dataCentre, .load = {} };
        if (const auto load = m_state.loads.find(entry->address); load != m_state.loads.end())
            candidate.load = load->second;
        candidate.load.slots = std::max(entry->slots, 1U);
        candidates.push_back(candidate);
    }
    return chooseAgents(flow, candidates, m_choice, m_state.role.clock.now());
}

void ConnectionDispatcher::handleAdmitted(const PeerMessage& message, std::uint32_t sender)
{
    noteLoad(m_state, message, sender);
    const Millis now = m_state.role.clock.now();
    const auto opening = m_openings.find(message.flow);
    if (opening != m_openings.end()) {
        m_openingTimes.record(static_cast<double>(now - opening->second.startedAt));
        if (opening->second.busyAgents == 0)
            recordSlotOffer(m_busyAgents, false);
        m_openings.erase(opening);
        m_state.holders[message.flow] = { .agent = sender, .usedAt = now };
        return;
    }
    m_state.holders.try_emplace(message.flow, Holder { .agent = sender, .usedAt = now });
}

void ConnectionDispatcher::handleRefused(const PeerMessage& message, std::uint32_t sender)
{
    noteLoad(m_state, message, sender);
    m_state.refusals.increment(message.refusal);
    if (const auto holder = m_state.holders.find(message.flow); holder != m_state.holders.end() && holder->second.agent == sender)
        m_state.holders.erase(holder);
    auto opening = m_openings.find(message.flow);
    // A refusal that comes after the opening has ended is from an agent that was paused, and the caller has moved on.
    if (opening == m_openings.end() && message.refusal != OpeningRefusal::Returned && message.refusal != OpeningRefusal::WaitedTooLong)
        return;
    if (opening == m_openings.end()) {
        // The agent had admitted the opening; since then its upstream has returned the packet, or its time in the agent's
        // queue has run out.
        opening = m_openings.try_emplace(message.flow).first;
        opening->second.packet = copyOf(message.packet);
        opening->second.startedAt = m_state.role.clock.now();
        opening->second.tried.push_back(sender);
        opening->second.agent = sender;
    }
    opening->second.lastRefusal = message.refusal;
    if (message.refusal == OpeningRefusal::WaitedTooLong) {
        finishRefused(message.flow, opening->second, ResetReason::RefusedByAll);
        return;
    }
    if (message.refusal == OpeningRefusal::Busy) {
        handleBusy(message.flow, opening->second, sender);
        return;
    }
    m_state.loads[sender].refusesUntil = m_state.role.clock.now() + refusalTime;
    opening->second.mayTryAgain = opening->second.mayTryAgain || isTransient(message.refusal);
    if (opening->second.agent == sender)
        offerToNext(message.flow, opening->second);
}

// `opening` may be invalid afterwards.
void ConnectionDispatcher::handleBusy(const FlowKey& flow, Opening& opening, std::uint32_t sender)
{
    ++opening.busyAgents;
    recordSlotOffer(m_busyAgents, true);
    opening.mayTryAgain = true;
    switch (nextOfferStep(m_busyAgents, opening.busyAgents, opening.tried.size())) {
    case OfferStep::WaitAtLeastLoaded:
        offerToWait(flow, opening);
        break;
    case OfferStep::Refuse:
        finishRefused(flow, opening, ResetReason::RefusedByAll);
        break;
    case OfferStep::AskNext:
    case OfferStep::AskNextToWait:
        if (opening.agent == sender)
            offerToNext(flow, opening);
        break;
    }
}

void ConnectionDispatcher::offerAgain(Millis now)
{
    std::vector<FlowKey> late;
    for (const auto& [flow, opening] : m_openings) {
        if (now - opening.offeredAt >= (opening.agent == 0 ? againInterval : answerLimit))
            late.push_back(flow);
    }
    // The newest openings come first, since they can still be answered in time. Each may go to several agents, so the number
    // of them in one tick is limited.
    std::ranges::sort(late, std::greater(), [this](const FlowKey& flow) { return m_openings.at(flow).startedAt; });
    if (late.size() > offersInTurn)
        late.resize(offersInTurn);
    for (const FlowKey& flow : late) {
        Opening& opening = m_openings.at(flow);
        if (now - opening.startedAt > maxOpeningWait()) {
            finishRefused(flow, opening, ResetReason::NoAgent);
            continue;
        }
        if (opening.agent != 0)
            ++m_state.loads[opening.agent].unanswered;
        offerToNext(flow, opening);
    }
}

void ConnectionDispatcher::exposeMetrics(std::string& out) const
{
    m_openingTimes.expose(out, "kingcuptrail_opening_milliseconds", "Time until an agent took an opening, in milliseconds.");
}

}
