#include "connectiondispatcher.h"

#include "libdecision/openingschedule.h"
#include "libruntime/events.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// How long an agent may take to answer an offer before the next agent gets it, in milliseconds. Below the time after
    /// which the caller retransmits.
    constexpr Millis offerTimeout = 60;
    /// How long after its start a process may still be missing agents in its directory, in milliseconds.
    constexpr Millis directoryLearningTime = 2000;
    /// How long to wait before an opening that every agent refused for a transient reason is offered again, in milliseconds.
    constexpr Millis retryInterval = 40;
    /// Openings offered again in one tick, so that a backlog does not delay the packets of a balancer on a small host.
    constexpr std::size_t maxOffersPerTick = 12;
    /// How long an agent ranks behind the others after a refusal, in milliseconds.
    constexpr Millis refusalPenaltyTime = 100;

}

ConnectionDispatcher::ConnectionDispatcher(BalancerState& state)
    : m_state(state)
    , m_bulkGate(state)
{
}

void ConnectionDispatcher::open(const FlowKey& flow, std::uint32_t retransmissions, std::span<const std::uint8_t> packet)
{
    const Millis now = m_state.role.clock.now();
    // After a pause of this process the socket still holds openings whose callers have since moved to other balancers.
    if (m_state.network.mayBeStale()) {
        m_state.packetOutcomes.increment(CallerPacketOutcome::NoView);
        return;
    }
    // A retransmission goes to the agent that admitted the first packet, so that a flow is not opened at two agents. If that
    // agent has left an offer unanswered, its data centre is lost or the route is gone, the opening is offered anew.
    if (const auto holder = m_state.holderCache.find(flow); holder != m_state.holderCache.end()) {
        const std::string* service = serviceForFlow(m_state.network.routes(), flow);
        if (service && m_state.agentLoads[holder->second.agent].unanswered == 0 && !isInLostDataCentre(m_state, holder->second.agent)) {
            holder->second.usedAt = now;
            m_state.network.send(holder->second.agent, { .kind = wire::PeerKind::Open, .flow = flow, .configVersion = m_state.network.routes().version, .service = *service, .packet = packet });
            m_state.packetOutcomes.increment(CallerPacketOutcome::Offered);
            return;
        }
        m_state.holderCache.erase(holder);
    }
    const Millis startedAt = now - minOpeningAge(retransmissions);
    if (m_openings.contains(flow) || m_bulkGate.admits(flow, startedAt, packet))
        offerNew(flow, startedAt, copyPacket(packet));
}

// A copy of a pending opening only replaces the packet.
void ConnectionDispatcher::offerNew(const FlowKey& flow, Millis startedAt, PacketBytes packet)
{
    const auto [found, isNew] = m_openings.try_emplace(flow);
    PendingOpening& opening = found->second;
    opening.packet = std::move(packet);
    if (!isNew)
        return;
    opening.startedAt = startedAt;
    offerToNext(flow, opening);
}

void ConnectionDispatcher::offerAdmitted(Millis now)
{
    for (HeldOpening& held : m_bulkGate.takeAdmitted(now))
        offerNew(held.flow, held.startedAt, std::move(held.packet));
}

void ConnectionDispatcher::recordPacket(const FlowKey& flow, const PacketHeader& header, std::size_t bytes)
{
    if (m_bulkGate.recordPacket(flow, header, bytes))
        offerAdmitted(m_state.role.clock.now());
}

void ConnectionDispatcher::updateWaitingOpenings(Millis now)
{
    m_bulkGate.discardAfterGap(now);
    offerAdmitted(now);
    m_bulkGate.refuseExpired(now);
}

// Offers an opening to the best agent that has not had it yet. Without a configuration or agents the opening waits: a process
// that has just started learns both within a few round trips, while a retransmission of the caller would take 200 ms.
void ConnectionDispatcher::offerToNext(const FlowKey& flow, PendingOpening& opening)
{
    const Millis now = m_state.role.clock.now();
    opening.agent = 0;
    opening.offeredAt = now;
    if (m_state.network.routes().version == 0 || m_state.network.mayBeStale()) {
        m_state.packetOutcomes.increment(CallerPacketOutcome::NoView);
        return;
    }
    const std::string* service = serviceForFlow(m_state.network.routes(), flow);
    if (!service) {
        rejectOpening(flow, opening, ResetReason::NoRoute);
        return;
    }
    const std::vector<std::uint32_t> ranking = rankAgents(flow, *service);
    const auto next = std::ranges::find_if(ranking, [&](std::uint32_t agent) { return std::ranges::find(opening.triedAgents, agent) == opening.triedAgents.end(); });
    // The directory of a process that has just started may be incomplete.
    const bool isNew = now - m_state.startedAt < directoryLearningTime;
    if (next == ranking.end() && (opening.hasTransientRefusal || isNew) && now - opening.startedAt < maxOpeningWait()) {
        opening.triedAgents.clear();
        opening.hasTransientRefusal = false;
        return;
    }
    if (next == ranking.end()) {
        rejectOpening(flow, opening, opening.triedAgents.empty() ? ResetReason::NoAgent : ResetReason::RefusedByAll);
        return;
    }
    opening.triedAgents.push_back(*next);
    opening.service = *service;
    opening.version = m_state.network.routes().version;
    offerTo(*next, flow, opening);
    const AgentLoad& load = m_state.agentLoads[*next];
    const PeerEntry* entry = findByAddress(m_state.network.directory(), *next);
    logFlowEvent(Event::FlowOffered, flow, { { "agent", addressText(*next) }, { "peer", entry ? entry->name : "" }, { "epoch", entry ? entry->epoch : 0 }, { "service", *service }, { "atWork", load.atWork }, { "loadAge", static_cast<std::uint64_t>(now - load.receivedAt) }, { "candidates", ranking.size() }, { "try", opening.triedAgents.size() }, { "version", m_state.network.routes().version } });
}

void ConnectionDispatcher::offerTo(std::uint32_t agent, const FlowKey& flow, PendingOpening& opening)
{
    opening.agent = agent;
    ++m_state.agentLoads[agent].sentSinceReport;
    m_state.network.send(agent, { .kind = wire::PeerKind::Open, .flow = flow, .configVersion = opening.version, .needsFreeSlot = needsFreeSlot(m_offerPolicy, opening.busyAgents), .service = opening.service, .packet = opening.packet });
    m_state.packetOutcomes.increment(CallerPacketOutcome::Offered);
}

// None of the agents that got the opening has a free slot. It is queued at the one with the least work for each slot,
// according to the load in their refusals.
void ConnectionDispatcher::offerToLeastLoaded(const FlowKey& flow, PendingOpening& opening)
{
    const auto workOf = [this](std::uint32_t agent) {
        const AgentLoad& load = m_state.agentLoads[agent];
        return static_cast<double>(load.atWork) / std::max(load.slots, 1U);
    };
    const auto least = std::ranges::min_element(opening.triedAgents, {}, workOf);
    opening.offeredAt = m_state.role.clock.now();
    offerTo(*least, flow, opening);
}

// Resets the flow and erases its opening; `opening` is invalid afterwards.
void ConnectionDispatcher::rejectOpening(const FlowKey& flow, const PendingOpening& opening, ResetReason reason)
{
    logFlowEvent(Event::FlowRefused, flow, { { "reason", nameOf(reason) }, { "lastRefusal", nameOf(opening.lastRefusal) }, { "tried", opening.triedAgents.size() }, { "version", m_state.network.routes().version } });
    sendReset(m_state, flow, 0, reason);
    m_openings.erase(flow);
}

// Agents of a silent data centre come after all others: each opening to a host that is gone costs the time of an unanswered
// offer. They are not skipped, since the data centre may only be cut off from this one while it holds the service.
std::vector<std::uint32_t> ConnectionDispatcher::rankAgents(const FlowKey& flow, const std::string& service) const
{
    std::vector<AgentCandidate> candidates;
    std::vector<AgentCandidate> silentCandidates;
    for (const PeerEntry* entry : readyAgentsOf(m_state.network.directory(), service)) {
        const DataCentreState state = stateOf(m_state.dataCentreHealth, entry->dataCentre);
        if (isDataCentreOut(m_state.network.outages(), entry->dataCentre) || state == DataCentreState::Lost)
            continue;
        AgentCandidate candidate { .address = entry->address, .isNear = entry->dataCentre == m_state.role.settings.dataCentre, .load = {} };
        if (const auto load = m_state.agentLoads.find(entry->address); load != m_state.agentLoads.end())
            candidate.load = load->second;
        candidate.load.slots = std::max(entry->slots, 1U);
        (state == DataCentreState::Silent ? silentCandidates : candidates).push_back(candidate);
    }
    const Millis now = m_state.role.clock.now();
    std::vector<std::uint32_t> ranking = chooseAgents(flow, candidates, m_choiceOptions, now);
    const std::vector<std::uint32_t> silentRanking = chooseAgents(flow, silentCandidates, m_choiceOptions, now);
    ranking.insert(ranking.end(), silentRanking.begin(), silentRanking.end());
    return ranking;
}

void ConnectionDispatcher::handleAdmitted(const PeerMessage& message, std::uint32_t sender)
{
    recordLoad(m_state, message, sender);
    const Millis now = m_state.role.clock.now();
    const auto opening = m_openings.find(message.flow);
    if (opening != m_openings.end()) {
        m_openingTimes.record(static_cast<double>(now - opening->second.startedAt));
        if (opening->second.busyAgents == 0)
            recordSlotOffer(m_offerPolicy, false);
        m_openings.erase(opening);
        m_state.holderCache[message.flow] = { .agent = sender, .usedAt = now };
        return;
    }
    m_state.holderCache.try_emplace(message.flow, CachedHolder { .agent = sender, .usedAt = now });
}

void ConnectionDispatcher::handleRefused(const PeerMessage& message, std::uint32_t sender)
{
    recordLoad(m_state, message, sender);
    m_state.refusals.increment(message.refusal);
    if (const auto holder = m_state.holderCache.find(message.flow); holder != m_state.holderCache.end() && holder->second.agent == sender)
        m_state.holderCache.erase(holder);
    auto opening = m_openings.find(message.flow);
    // A refusal that comes after the opening has ended is from an agent that was paused, and the caller has moved on.
    if (opening == m_openings.end() && message.refusal != OpeningRefusal::Returned && message.refusal != OpeningRefusal::WaitedTooLong)
        return;
    // Another agent has admitted the flow meanwhile.
    if (opening == m_openings.end() && m_state.holderCache.contains(message.flow))
        return;
    if (opening == m_openings.end()) {
        // The agent had admitted the opening; since then its upstream has returned the packet, or its time in the agent's
        // queue has run out.
        opening = m_openings.try_emplace(message.flow).first;
        opening->second.packet = copyPacket(message.packet);
        opening->second.startedAt = m_state.role.clock.now();
        opening->second.triedAgents.push_back(sender);
        opening->second.agent = sender;
    }
    opening->second.lastRefusal = message.refusal;
    if (message.refusal == OpeningRefusal::WaitedTooLong) {
        rejectOpening(message.flow, opening->second, ResetReason::RefusedByAll);
        return;
    }
    if (message.refusal == OpeningRefusal::Busy) {
        handleBusyRefusal(message.flow, opening->second, sender);
        return;
    }
    m_state.agentLoads[sender].refusesUntil = m_state.role.clock.now() + refusalPenaltyTime;
    opening->second.hasTransientRefusal = opening->second.hasTransientRefusal || isTransient(message.refusal);
    if (opening->second.agent == sender)
        offerToNext(message.flow, opening->second);
}

// `opening` may be invalid afterwards.
void ConnectionDispatcher::handleBusyRefusal(const FlowKey& flow, PendingOpening& opening, std::uint32_t sender)
{
    ++opening.busyAgents;
    recordSlotOffer(m_offerPolicy, true);
    opening.hasTransientRefusal = true;
    switch (nextOfferStep(m_offerPolicy, opening.busyAgents, opening.triedAgents.size())) {
    case OfferStep::WaitAtLeastLoaded:
        offerToLeastLoaded(flow, opening);
        break;
    case OfferStep::Refuse:
        rejectOpening(flow, opening, ResetReason::RefusedByAll);
        break;
    case OfferStep::AskNext:
    case OfferStep::AskNextToWait:
        if (opening.agent == sender)
            offerToNext(flow, opening);
        break;
    }
}

void ConnectionDispatcher::retryOffers(Millis now)
{
    std::vector<FlowKey> late;
    for (const auto& [flow, opening] : m_openings) {
        if (now - opening.offeredAt >= (opening.agent == 0 ? retryInterval : offerTimeout))
            late.push_back(flow);
    }
    // The newest openings come first, since they can still be answered in time. Each may go to several agents, so the number
    // of them in one tick is limited.
    std::ranges::sort(late, std::greater(), [this](const FlowKey& flow) { return m_openings.at(flow).startedAt; });
    if (late.size() > maxOffersPerTick)
        late.resize(maxOffersPerTick);
    for (const FlowKey& flow : late) {
        PendingOpening& opening = m_openings.at(flow);
        if (now - opening.startedAt > maxOpeningWait()) {
            rejectOpening(flow, opening, ResetReason::NoAgent);
            continue;
        }
        if (opening.agent != 0)
            ++m_state.agentLoads[opening.agent].unanswered;
        offerToNext(flow, opening);
    }
}

void ConnectionDispatcher::exposeMetrics(std::string& out) const
{
    m_bulkGate.exposeMetrics(out);
    m_openingTimes.expose(out, "kingcuptrail_opening_milliseconds", "Time until an agent took an opening, in milliseconds.");
}

}
