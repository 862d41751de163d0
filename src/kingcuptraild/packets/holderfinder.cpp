#include "holderfinder.h"

#include "libruntime/events.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// Time limit of a search, in milliseconds. The caller retransmits after 200 ms at the earliest, which starts a new
    /// search.
    constexpr Millis searchTimeout = 190;
    /// Time limit of a search that waits for the first known agent, and of one that every agent has denied and that waits for
    /// a peer to confirm the directory, in milliseconds: several rounds of gossip. Waiting costs memory only; if the
    /// search ended, the caller would get its reset with its next packet, up to 1.6 s later.
    constexpr Millis gossipWaitTimeout = 1000;
    /// Searches that are started in one tick when the first agents become known, so that a backlog does not delay the packets
    /// of a balancer on a small host.
    constexpr std::size_t maxSearchesBegunPerTick = 16;
    /// Agents that are asked before all others: those that the flow's hash ranks first. The first one was passed over when
    /// another opening had just been sent to it.
    constexpr std::size_t likelyHolderCount = 3;
    /// How long they may take to answer before all others are asked as well, in milliseconds: a few round trips.
    constexpr Millis likelyHolderTimeout = 10;
    /// How long a delegate may take to answer, in milliseconds: several round trips.
    constexpr Millis delegateTimeout = 30;
    /// A tick that comes this long after the previous one shows that the process is behind with its work, in milliseconds:
    /// twice the 20 ms between ticks.
    constexpr Millis lateTickThreshold = 40;
    /// Packets of one flow that may wait for a search: the number that a caller has in flight.
    constexpr std::size_t maxPacketsPerSearch = 16;
    /// Concurrent searches. While there are so many, packets of other flows are dropped. With 1,200 bytes a packet and a few
    /// packets a flow, this bounds the memory at about 10 MB.
    constexpr std::size_t maxSearches = 4096;

    /// The directory has an address once for each name that was announced for it, and one process answers for all of them.
    std::vector<std::uint32_t> withoutRepetitions(std::vector<std::uint32_t> addresses)
    {
        std::ranges::sort(addresses);
        addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
        return addresses;
    }

}

HolderFinder::HolderFinder(BalancerState& state)
    : m_state(state)
{
}

// A flow is missing from the cache when another balancer opened it, or when this process started after it was opened. The most
// probable holders are asked first, then all agents; the holder answers within a round trip and gets the packet.
void HolderFinder::search(const FlowKey& flow, const PacketHeader& header, std::span<const std::uint8_t> packet)
{
    if (m_searches.size() >= maxSearches && !m_searches.contains(flow)) {
        m_state.packetOutcomes.increment(CallerPacketOutcome::SearchFull);
        return;
    }
    const auto [found, isNew] = m_searches.try_emplace(flow);
    PendingSearch& waiting = found->second;
    waiting.acknowledged = header.acknowledged;
    if (waiting.packets.size() < maxPacketsPerSearch)
        waiting.packets.push_back(copyPacket(packet));
    m_state.packetOutcomes.increment(CallerPacketOutcome::Waiting);
    if (!isNew)
        return;
    waiting.plan.ownDataCentre = m_state.role.settings.dataCentre;
    begin(flow, waiting);
}

void HolderFinder::begin(const FlowKey& flow, PendingSearch& waiting)
{
    const std::string* service = serviceForFlow(m_state.network.routes(), flow);
    if (askLikelyHolders(flow, waiting, service))
        return;
    const AgentsByDataCentre agents = agentsToQuery(service);
    waiting.search = beginSearch(addressesOf(agents), m_state.role.clock.now());
    queryAgents(flow, waiting, agents);
}

// After a loss of balancers or a restart of all processes many flows are searched for at once, and a search among all agents
// costs a message for each of them. The likeliest holder gets the packet itself, so that it need not be asked again when it
// was restarted and only its upstream knows the flow. In a small data centre asking everybody costs no more.
bool HolderFinder::askLikelyHolders(const FlowKey& flow, PendingSearch& waiting, const std::string* service)
{
    if (!service)
        return false;
    const std::string& dataCentre = m_state.role.settings.dataCentre;
    const DataCentreMembers& near = membersOf(m_state.network.directory(), dataCentre);
    const auto found = near.agents.find(*service);
    if (found == near.agents.end() || found->second.size() <= likelyHolderCount + 1)
        return false;
    const std::vector<std::uint32_t> agents = withoutRepetitions(found->second);
    if (agents.size() <= likelyHolderCount + 1)
        return false;
    std::vector<std::uint32_t> likely = likelyHolders(flow, agents, likelyHolderCount);
    std::erase_if(likely, [this](std::uint32_t agent) { return m_state.unresponsiveAgents.silentSince.contains(agent); });
    if (likely.empty())
        return false;
    waiting.search = beginSearch(likely, m_state.role.clock.now());
    waiting.asked[dataCentre] = likely;
    waiting.asksLikelyHolders = true;
    addProbedAgent(waiting.plan, { .address = likely.front(), .dataCentre = dataCentre });
    m_state.network.send(likely.front(), { .kind = wire::PeerKind::Probe, .flow = flow, .configVersion = m_state.network.routes().version, .packet = waiting.packets.front() });
    m_state.packetOutcomes.increment(CallerPacketOutcome::Probed);
    queryDirectly(flow, waiting, std::span(likely).subspan(1));
    return true;
}

void HolderFinder::askOtherAgents(const FlowKey& flow, PendingSearch& waiting, const AgentsByDataCentre& known, std::span<const std::uint32_t> missing)
{
    waiting.asksLikelyHolders = false;
    waiting.search.startedAt = m_state.role.clock.now();
    queryAgents(flow, waiting, filterAgents(known, missing));
}

// Asks all other agents where the likely holders are late.
void HolderFinder::widenSearches(Millis now)
{
    const auto isDue = [now](const auto& item) { return item.second.asksLikelyHolders && now - item.second.search.startedAt >= likelyHolderTimeout; };
    if (std::ranges::none_of(m_searches, isDue))
        return;
    const AgentsByDataCentre known = possibleHolders(nullptr);
    for (auto& item : m_searches) {
        if (!isDue(item))
            continue;
        const auto missing = addMissingAgents(item.second.search, addressesOf(known));
        askOtherAgents(item.first, item.second, known, missing);
    }
}

// Starts the searches that had no agent to query. After a loss of power, callers' packets arrive before any agent is known. If
// such a search ended, it would start again only with the caller's next retransmission, up to 1.6 s later.
void HolderFinder::beginDeferredSearches()
{
    std::size_t begun = 0;
    for (auto& [flow, waiting] : m_searches) {
        if (!waiting.search.asked.empty() || begun == maxSearchesBegunPerTick)
            continue;
        begin(flow, waiting);
        if (waiting.search.asked.empty())
            return;
        ++begun;
    }
}

AgentsByDataCentre HolderFinder::possibleHolders(const std::string* service) const
{
    AgentsByDataCentre agents;
    const Millis now = m_state.role.clock.now();
    for (const auto& [dataCentre, members] : m_state.network.directory().dataCentres) {
        if (stateOf(m_state.dataCentreHealth, dataCentre) == DataCentreState::Lost)
            continue;
        std::vector<std::uint32_t> addresses;
        for (const auto& [agentService, ofService] : members.agents) {
            if (!service || agentService == *service)
                addresses.insert(addresses.end(), ofService.begin(), ofService.end());
        }
        std::erase_if(addresses, [&](std::uint32_t address) { return isPresumedGone(m_state.unresponsiveAgents, address, now); });
        if (!addresses.empty())
            agents.emplace(dataCentre, withoutRepetitions(std::move(addresses)));
    }
    return agents;
}

// A delegate answers for the agents of all services in its data centre, so the list of a data centre that is large enough
// for a delegate holds all of its agents.
AgentsByDataCentre HolderFinder::agentsToQuery(const std::string* service) const
{
    AgentsByDataCentre agents = possibleHolders(service);
    AgentsByDataCentre allAgents = possibleHolders(nullptr);
    // All agents of the service are lost. The others must deny the flow, since its route may have moved, and then it is lost.
    if (agents.empty() && hasLostDataCentre(m_state.dataCentreHealth))
        return allAgents;
    for (auto& [dataCentre, members] : agents) {
        if (members.size() >= ProbePlanOptions {}.minAgentsForForwarding)
            members = std::move(allAgents.at(dataCentre));
    }
    return agents;
}

// In a data centre with enough agents the delegate is asked; in the others each agent is asked directly.
void HolderFinder::queryAgents(const FlowKey& flow, PendingSearch& waiting, const AgentsByDataCentre& agents)
{
    for (const auto& [dataCentre, members] : agents) {
        if (members.size() < waiting.plan.options.minAgentsForForwarding)
            queryDirectly(flow, waiting, members);
        else
            queryDelegate(flow, waiting, dataCentre, members, {});
        std::vector<std::uint32_t>& asked = waiting.asked[dataCentre];
        asked.insert(asked.end(), members.begin(), members.end());
    }
}

// The agents of a data centre that have not answered for so long that searches no longer wait for them. They are excluded from
// the query, so that the delegate does not wait for them either.
std::vector<std::uint32_t> HolderFinder::agentsPresumedGoneIn(const std::string& dataCentre) const
{
    std::vector<std::uint32_t> agents;
    for (const auto& [address, since] : m_state.unresponsiveAgents.silentSince) {
        const PeerEntry* entry = findByAddress(m_state.network.directory(), address);
        if (entry && entry->dataCentre == dataCentre && isPresumedGone(m_state.unresponsiveAgents, address, m_state.role.clock.now()))
            agents.push_back(address);
    }
    return agents;
}

// When `packet` is not empty, the delegate probes its neighbours with it.
void HolderFinder::queryDelegate(const FlowKey& flow, PendingSearch& waiting, const std::string& dataCentre, std::span<const std::uint32_t> members, std::span<const std::uint8_t> packet)
{
    const std::uint32_t delegate = nextDelegate(members);
    std::vector<std::uint32_t> excluded = agentsPresumedGoneIn(dataCentre);
    const std::uint64_t digest = agentsDigestOf(m_state.network.directory(), dataCentre, excluded);
    m_state.network.send(delegate, { .kind = wire::PeerKind::FindNear, .flow = flow, .configVersion = m_state.network.routes().version, .acknowledged = waiting.acknowledged, .digest = digest, .excluded = std::move(excluded), .packet = packet });
    waiting.delegateQueries.push_back({ .address = delegate, .members = { members.begin(), members.end() } });
}

// Chooses delegates round-robin, so that the next attempt of a search that was left unanswered goes to another agent. Agents
// with unanswered messages are skipped while there are others.
std::uint32_t HolderFinder::nextDelegate(std::span<const std::uint32_t> members)
{
    const std::size_t first = m_delegateIndex++;
    for (std::size_t step = 0; step < members.size(); ++step) {
        const std::uint32_t member = members[(first + step) % members.size()];
        const auto load = m_state.agentLoads.find(member);
        const bool isResponsive = load == m_state.agentLoads.end() || load->second.unanswered == 0;
        if (isResponsive && !m_state.unresponsiveAgents.silentSince.contains(member))
            return member;
    }
    return members[first % members.size()];
}

void HolderFinder::handleDelegatedAnswer(const PeerMessage& message, std::uint32_t sender)
{
    const auto found = m_searches.find(message.flow);
    if (found == m_searches.end())
        return;
    PendingSearch& waiting = found->second;
    if (message.kind == wire::PeerKind::HeldNear) {
        updateSearch(message.flow, recordAnswer(waiting.search, message.holder, HolderAnswer::Held));
        return;
    }
    const auto delegate = std::ranges::find(waiting.delegateQueries, sender, &DelegateQuery::address);
    if (delegate == waiting.delegateQueries.end())
        return;
    const std::vector<std::uint32_t> members = std::move(delegate->members);
    waiting.delegateQueries.erase(delegate);
    if (message.kind == wire::PeerKind::UnsureNear) {
        handleUnsureDelegate(message, waiting, members);
        return;
    }
    SearchState state = SearchState::Asking;
    for (const std::uint32_t member : members)
        state = recordAnswer(waiting.search, member, HolderAnswer::NotHeld);
    if (state == SearchState::Asking)
        sendProbes(message.flow, waiting, false);
    updateSearch(message.flow, state);
}

// Agents that the delegate did not report on are asked directly. Agents that only the delegate knows are added to the search,
// so that they have to deny the flow as well.
void HolderFinder::handleUnsureDelegate(const PeerMessage& message, PendingSearch& waiting, std::span<const std::uint32_t> members)
{
    const DelegatedAnswer answer = classifyDelegatedAnswer(waiting.search, members, { .denied = message.denied, .open = message.excluded, .haveOthersDenied = message.haveOthersDenied });
    addMissingAgents(waiting.search, message.excluded);
    SearchState state = SearchState::Asking;
    for (const std::uint32_t agent : answer.denied)
        state = recordAnswer(waiting.search, agent, HolderAnswer::NotHeld);
    if (state == SearchState::HeldByNobody) {
        updateSearch(message.flow, state);
        return;
    }
    if (answer.unknown.size() < waiting.plan.options.minAgentsForForwarding) {
        queryDirectly(message.flow, waiting, answer.unknown);
        markUnsureAndProbe(message.flow, waiting, answer.open);
        return;
    }
    markUnsureAndProbe(message.flow, waiting, awaitedOf(waiting.search, members));
}

// Marks agents as unsure and sends the probes that are due. A large data centre gets the packet once, and one agent there
// copies it to the others.
void HolderFinder::markUnsureAndProbe(const FlowKey& flow, PendingSearch& waiting, std::span<const std::uint32_t> agents)
{
    const std::string* service = serviceForFlow(m_state.network.routes(), flow);
    for (const std::uint32_t agent : agents) {
        const PeerEntry* entry = findByAddress(m_state.network.directory(), agent);
        if (!entry)
            continue;
        recordAnswer(waiting.search, agent, HolderAnswer::Unsure);
        addUnsureAgent(waiting.plan, { .address = agent, .dataCentre = entry->dataCentre, .isOfService = service && entry->service == *service });
    }
    sendProbes(flow, waiting, false);
}

// One packet is enough to find the holder, so the other packets of the flow wait for the answer.
void HolderFinder::sendProbes(const FlowKey& flow, PendingSearch& waiting, bool isNearOverdue)
{
    const PacketBytes& packet = waiting.packets.front();
    for (const ProbeGroup& group : nextProbes(waiting.plan, waiting.search, waiting.asked, isNearOverdue)) {
        if (group.isForwarded)
            queryDelegate(flow, waiting, group.dataCentre, group.members, packet);
        else
            m_state.network.sendToAll(group.members, { .kind = wire::PeerKind::Probe, .flow = flow, .configVersion = m_state.network.routes().version, .packet = packet });
        m_state.packetOutcomes.increment(CallerPacketOutcome::Probed, group.isForwarded ? 1 : group.members.size());
    }
}

void HolderFinder::queryDirectly(const FlowKey& flow, const PendingSearch& waiting, std::span<const std::uint32_t> agents)
{
    m_state.network.sendToAll(agents, { .kind = wire::PeerKind::Find, .flow = flow, .configVersion = m_state.network.routes().version, .acknowledged = waiting.acknowledged });
}

// When a delegate or one of its neighbours does not answer, another agent there gets the packet, so that one unresponsive
// agent cannot hide the holder of a flow. Asking every agent directly instead would take 40 messages a search, on balancers
// with small hosts that are already behind.
void HolderFinder::probeLateAgents(Millis now)
{
    // When this process itself is late, the answers may be waiting in its socket.
    const bool isProcessLate = now - std::exchange(m_lastTickAt, now) > lateTickThreshold;
    if (isProcessLate)
        return;
    for (auto& [flow, waiting] : m_searches) {
        if (waiting.hasProbedLateAgents || now - waiting.search.startedAt < delegateTimeout)
            continue;
        waiting.hasProbedLateAgents = true;
        std::vector<std::uint32_t> overdue;
        for (const DelegateQuery& delegate : waiting.delegateQueries) {
            const std::vector<std::uint32_t> members = awaitedOf(waiting.search, delegate.members);
            overdue.insert(overdue.end(), members.begin(), members.end());
        }
        if (!overdue.empty())
            markUnsureAndProbe(flow, waiting, overdue);
        if (!waiting.plan.waiting.empty())
            sendProbes(flow, waiting, true);
    }
}

void HolderFinder::updateSearch(const FlowKey& flow, SearchState state)
{
    const auto found = m_searches.find(flow);
    if (found == m_searches.end() || state == SearchState::Asking)
        return;
    PendingSearch& waiting = found->second;
    if (state == SearchState::Found) {
        const Millis now = m_state.role.clock.now();
        m_state.holderCache[flow] = { .agent = waiting.search.holder, .usedAt = now, .acknowledged = waiting.acknowledged };
        logFlowEvent(Event::HolderFound, flow, { { "agent", addressText(waiting.search.holder) }, { "milliseconds", static_cast<std::uint64_t>(now - waiting.search.startedAt) } });
        // A holder that was probed already has the first packet.
        for (std::size_t next = wasProbed(waiting.plan, waiting.search.holder) ? 1 : 0; next < waiting.packets.size(); ++next)
            m_state.network.send(waiting.search.holder, { .kind = wire::PeerKind::Forward, .flow = flow, .configVersion = m_state.network.routes().version, .packet = waiting.packets[next] });
        m_searchOutcomes.increment(state);
        m_searches.erase(found);
        return;
    }
    // The route may have moved to another service since the flow was opened, and the directory may have grown since the search
    // began. The flow is lost only when every agent that is known now has denied it.
    const AgentsByDataCentre known = possibleHolders(nullptr);
    if (const auto missing = addMissingAgents(waiting.search, addressesOf(known)); !missing.empty()) {
        askOtherAgents(flow, waiting, known, missing);
        return;
    }
    // The periodic check repeats this until a peer has confirmed the directory.
    if (!isDirectoryComplete())
        return;
    logFlowEvent(Event::FlowLost, flow, { { "directory", m_state.network.directory().entries.size() }, { "denied", waiting.search.asked.size() }, { "silent", m_state.unresponsiveAgents.silentSince.size() }, { "milliseconds", static_cast<std::uint64_t>(m_state.role.clock.now() - waiting.search.startedAt) } });
    sendReset(m_state, flow, waiting.acknowledged, ResetReason::HeldByNobody);
    m_searchOutcomes.increment(state);
    m_searches.erase(found);
}

// Ends the searches that every agent has denied and that only waited for a peer to confirm the directory.
void HolderFinder::endConfirmedSearches()
{
    if (!isDirectoryComplete())
        return;
    std::vector<FlowKey> settled;
    for (const auto& [flow, waiting] : m_searches) {
        if (waiting.search.state == SearchState::HeldByNobody)
            settled.push_back(flow);
    }
    for (const FlowKey& flow : settled)
        updateSearch(flow, SearchState::HeldByNobody);
}

bool HolderFinder::hasTimedOut(const HolderSearch& search, Millis now)
{
    const bool isWaitingForPeers = search.state == SearchState::HeldByNobody || search.asked.empty();
    return now - search.startedAt > (isWaitingForPeers ? gossipWaitTimeout : searchTimeout);
}

// A balancer with an incomplete directory could declare a flow lost that another balancer opened at an agent that this one
// does not know. The directory counts as complete while peers report the same agents.
bool HolderFinder::isDirectoryComplete() const
{
    return m_state.network.isDirectoryConfirmed();
}

void HolderFinder::handleHolderAnswer(const PeerMessage& message, std::uint32_t sender)
{
    if (const auto load = m_state.agentLoads.find(sender); load != m_state.agentLoads.end())
        load->second.unanswered = 0;
    const HolderAnswer answer = holderAnswerOf(message.kind);
    const auto found = m_searches.find(message.flow);
    if (answer == HolderAnswer::NotHeld) {
        const auto holder = m_state.holderCache.find(message.flow);
        const bool wasCached = holder != m_state.holderCache.end() && holder->second.agent == sender;
        if (wasCached)
            m_state.holderCache.erase(holder);
        // The cached holder has sent the packet back, so a new search starts with it.
        if (wasCached && found == m_searches.end() && !message.packet.empty()) {
            DecodeError error = DecodeError::None;
            if (const auto header = m_state.adapter.decodePacket(message.packet, error))
                search(message.flow, *header, message.packet);
            return;
        }
    }
    if (found == m_searches.end())
        return;
    const SearchState state = recordAnswer(found->second.search, sender, answer);
    if (state == SearchState::Asking) {
        const std::array<std::uint32_t, 1> one { sender };
        if (answer == HolderAnswer::Unsure)
            markUnsureAndProbe(message.flow, found->second, one);
        else
            sendProbes(message.flow, found->second, false);
    }
    updateSearch(message.flow, state);
}

// Otherwise these searches would run out of time without a result, and their callers would learn of the loss only with their
// next retransmission. A search that has no agent left begins anew in tick().
void HolderFinder::handleLostDataCentre(const std::string& dataCentre)
{
    std::vector<FlowKey> settled;
    for (auto& [flow, waiting] : m_searches) {
        const auto agents = waiting.asked.find(dataCentre);
        if (agents == waiting.asked.end())
            continue;
        const SearchState state = removeAgents(waiting.search, agents->second);
        waiting.asked.erase(agents);
        if (state == SearchState::HeldByNobody)
            settled.push_back(flow);
        else if (!waiting.search.asked.empty())
            sendProbes(flow, waiting, false);
    }
    for (const FlowKey& flow : settled)
        updateSearch(flow, SearchState::HeldByNobody);
}

void HolderFinder::tick(Millis now)
{
    beginDeferredSearches();
    widenSearches(now);
    probeLateAgents(now);
    endConfirmedSearches();
    std::erase_if(m_searches, [&](const auto& item) {
        const bool isEnded = hasTimedOut(item.second.search, now);
        if (isEnded)
            endUncertainSearch(item.first, item.second.search, now);
        return isEnded;
    });
}

// The result is unknown, so the caller gets no reset: it retransmits, and the next search may find the holder. Agents that
// did not answer are recorded as unresponsive, since their hosts may be gone; the next message of a running agent clears the
// record.
void HolderFinder::endUncertainSearch(const FlowKey& flow, const HolderSearch& search, Millis now)
{
    const std::vector<std::uint32_t> unanswered = agentsWithoutDenial(search);
    for (const std::uint32_t agent : unanswered)
        recordUnanswered(m_state.unresponsiveAgents, agent, search.startedAt);
    m_searchOutcomes.increment(SearchState::Asking);
    const std::uint32_t waitsFor = unanswered.empty() ? 0 : unanswered.front();
    logFlowEvent(Event::SearchUncertain, flow, { { "silent", search.awaited.size() }, { "unsure", search.unsure.size() }, { "waitsFor", addressText(waitsFor) }, { "directoryConfirmed", isDirectoryComplete() ? "yes" : "no" }, { "milliseconds", static_cast<std::uint64_t>(now - search.startedAt) } });
}

void HolderFinder::exposeMetrics(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_holder_searches_total", "Searches for the holder of a flow, by how they ended; asking: out of time.", m_searchOutcomes);
}

}
