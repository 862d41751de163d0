#include "holderfinder.h"

#include "libruntime/events.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// Time limit of a search, in milliseconds. The caller retransmits after 200 ms at the earliest, which starts a new
    /// search.
    constexpr Millis searchLimit = 190;
    /// Time limit of a search that waits for the first known agent, and of one that every agent has denied and that waits for
    /// a peer to confirm the directory, in milliseconds: several rounds of gossip. Waiting costs memory only; if the
    /// search ended, the caller would get its reset with its next packet, up to 1.6 s later.
    constexpr Millis newsLimit = 1000;
    /// Searches that are started in one tick when the first agents become known, so that a backlog does not delay the packets
    /// of a balancer on a small host.
    constexpr std::size_t searchesBegunInTurn = 16;
    /// How long a delegate may take to answer, in milliseconds: several round trips.
    constexpr Millis speakerLimit = 30;
    /// A tick that comes this long after the previous one shows that the process is behind with its work, in milliseconds:
    /// twice the 20 ms between ticks.
    constexpr Millis lateTurn = 40;
    /// Packets of one flow that may wait for a search: the number that a caller has in flight.
    constexpr std::size_t waitingPackets = 16;
    /// Concurrent searches. While there are so many, further packets are dropped. With 1,200 bytes a packet and a few
    /// packets a flow, this bounds the memory at about 10 MB.
    constexpr std::size_t maxSearches = 4096;

}

HolderFinder::HolderFinder(BalancerState& state)
    : m_state(state)
{
}

// A flow is missing from the cache when another balancer opened it, or when this process started after it was opened. All
// agents of the service are asked; the holder answers within a round trip and gets the packet.
void HolderFinder::search(const FlowKey& flow, const PacketHeader& head, std::span<const std::uint8_t> packet)
{
    if (m_searches.size() >= maxSearches) {
        m_state.fates.increment(PacketFate::SearchFull);
        return;
    }
    const auto [found, isNew] = m_searches.try_emplace(flow);
    WaitingSearch& waiting = found->second;
    waiting.acknowledged = head.acknowledged;
    if (waiting.packets.size() < waitingPackets)
        waiting.packets.push_back(copyOf(packet));
    m_state.fates.increment(PacketFate::Waiting);
    if (!isNew)
        return;
    waiting.plan.ownDataCentre = m_state.role.settings.dataCentre;
    begin(flow, waiting);
}

void HolderFinder::begin(const FlowKey& flow, WaitingSearch& waiting)
{
    const AgentsByDataCentre agents = holdersToAsk(serviceForFlow(m_state.network.routes(), flow));
    waiting.search = beginSearch(addressesOf(agents), m_state.role.clock.now());
    ask(flow, waiting, agents);
}

// Starts the searches that had no agent to query. After a loss of power, callers' packets arrive before any agent is known. If
// such a search ended, it would start again only with the caller's next retransmission, up to 1.6 s later.
void HolderFinder::beginLate()
{
    std::size_t begun = 0;
    for (auto& [flow, waiting] : m_searches) {
        if (!waiting.search.asked.empty() || begun == searchesBegunInTurn)
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
    for (const auto& [name, entry] : m_state.network.directory().entries) {
        const bool mayHold = mayHoldFlows(entry) && !isPresumedGone(m_state.silent, entry.address, now);
        if (mayHold && (!service || entry.service == *service))
            agents[entry.dataCentre].push_back(entry.address);
    }
    return agents;
}

// A delegate answers for the agents of all services in its data centre, so the list of a data centre that is large enough
// for a delegate holds all of its agents.
AgentsByDataCentre HolderFinder::holdersToAsk(const std::string* service) const
{
    AgentsByDataCentre agents = possibleHolders(service);
    AgentsByDataCentre everybody = possibleHolders(nullptr);
    for (auto& [dataCentre, members] : agents) {
        if (members.size() >= ProbePlanOptions {}.minAgentsForForwarding)
            members = std::move(everybody.at(dataCentre));
    }
    return agents;
}

// In a data centre with enough agents the delegate is asked; in the others each agent is asked directly.
void HolderFinder::ask(const FlowKey& flow, WaitingSearch& waiting, const AgentsByDataCentre& agents)
{
    for (const auto& [dataCentre, members] : agents) {
        if (members.size() < waiting.plan.options.minAgentsForForwarding)
            askDirectly(flow, waiting, members);
        else
            askSpeaker(flow, waiting, dataCentre, members, {});
        std::vector<std::uint32_t>& asked = waiting.asked[dataCentre];
        asked.insert(asked.end(), members.begin(), members.end());
    }
}

// The agents of a data centre that have not answered for so long that searches no longer wait for them. They are excluded from
// the question, so that the delegate does not wait for them either.
std::vector<std::uint32_t> HolderFinder::givenUpIn(const std::string& dataCentre) const
{
    std::vector<std::uint32_t> agents;
    for (const auto& [address, since] : m_state.silent.silentSince) {
        const PeerEntry* entry = findByAddress(m_state.network.directory(), address);
        if (entry && entry->dataCentre == dataCentre && isPresumedGone(m_state.silent, address, m_state.role.clock.now()))
            agents.push_back(address);
    }
    return agents;
}

// When `packet` is not empty, the delegate probes its neighbours with it.
void HolderFinder::askSpeaker(const FlowKey& flow, WaitingSearch& waiting, const std::string& dataCentre, std::span<const std::uint32_t> members, std::span<const std::uint8_t> packet)
{
    const std::uint32_t speaker = nextSpeaker(members);
    std::vector<std::uint32_t> excluded = givenUpIn(dataCentre);
    const std::uint64_t digest = agentsDigestOf(m_state.network.directory(), dataCentre, excluded);
    m_state.network.send(speaker, { .kind = wire::PeerKind::FindNear, .flow = flow, .configVersion = m_state.network.routes().version, .acknowledged = waiting.acknowledged, .digest = digest, .excluded = std::move(excluded), .packet = packet });
    waiting.speakers.push_back({ .address = speaker, .members = { members.begin(), members.end() } });
}

// Chooses delegates round-robin, so that the next attempt of a search that was left unanswered goes to another agent. Agents
// with unanswered messages are skipped while there are others.
std::uint32_t HolderFinder::nextSpeaker(std::span<const std::uint32_t> members)
{
    const std::size_t first = m_speakerTurn++;
    for (std::size_t step = 0; step < members.size(); ++step) {
        const std::uint32_t member = members[(first + step) % members.size()];
        const auto load = m_state.loads.find(member);
        const bool isHeard = load == m_state.loads.end() || load->second.unanswered == 0;
        if (isHeard && !m_state.silent.silentSince.contains(member))
            return member;
    }
    return members[first % members.size()];
}

void HolderFinder::handleNearAnswer(const PeerMessage& message, std::uint32_t sender)
{
    const auto found = m_searches.find(message.flow);
    if (found == m_searches.end())
        return;
    WaitingSearch& waiting = found->second;
    if (message.kind == wire::PeerKind::HeldNear) {
        settleSearch(message.flow, recordAnswer(waiting.search, message.holder, HolderAnswer::Held));
        return;
    }
    const auto speaker = std::ranges::find(waiting.speakers, sender, &Speaker::address);
    if (speaker == waiting.speakers.end())
        return;
    const std::vector<std::uint32_t> members = std::move(speaker->members);
    waiting.speakers.erase(speaker);
    if (message.kind == wire::PeerKind::UnsureNear) {
        takeNearUnsure(message, waiting, members);
        return;
    }
    SearchState state = SearchState::Asking;
    for (const std::uint32_t member : members)
        state = recordAnswer(waiting.search, member, HolderAnswer::NotHeld);
    if (state == SearchState::Asking)
        probe(message.flow, waiting, false);
    settleSearch(message.flow, state);
}

// Agents that the delegate did not report on are asked directly. Agents that only the delegate knows are added to the search,
// so that they have to deny the flow as well.
void HolderFinder::takeNearUnsure(const PeerMessage& message, WaitingSearch& waiting, std::span<const std::uint32_t> members)
{
    const DelegatedAnswer answer = classifyDelegatedAnswer(waiting.search, members, message.denied, message.excluded);
    addMissingAgents(waiting.search, message.excluded);
    SearchState state = SearchState::Asking;
    for (const std::uint32_t agent : answer.denied)
        state = recordAnswer(waiting.search, agent, HolderAnswer::NotHeld);
    if (state == SearchState::HeldByNobody) {
        settleSearch(message.flow, state);
        return;
    }
    if (answer.unknown.size() < waiting.plan.options.minAgentsForForwarding) {
        askDirectly(message.flow, waiting, answer.unknown);
        takeUnsure(message.flow, waiting, answer.open);
        return;
    }
    takeUnsure(message.flow, waiting, awaitedOf(waiting.search, members));
}

// Marks agents as unsure and sends the probes that are due. A large data centre gets the packet once, and one agent there
// copies it to the others.
void HolderFinder::takeUnsure(const FlowKey& flow, WaitingSearch& waiting, std::span<const std::uint32_t> agents)
{
    const std::string* service = serviceForFlow(m_state.network.routes(), flow);
    for (const std::uint32_t agent : agents) {
        const PeerEntry* entry = findByAddress(m_state.network.directory(), agent);
        if (!entry)
            continue;
        recordAnswer(waiting.search, agent, HolderAnswer::Unsure);
        addUnsureAgent(waiting.plan, { .address = agent, .dataCentre = entry->dataCentre, .isOfService = service && entry->service == *service });
    }
    probe(flow, waiting, false);
}

// One packet is enough to find the holder, so the other packets of the flow wait for the answer.
void HolderFinder::probe(const FlowKey& flow, WaitingSearch& waiting, bool isNearOverdue)
{
    const PacketBytes& packet = waiting.packets.front();
    for (const ProbeGroup& group : nextProbes(waiting.plan, waiting.search, waiting.asked, isNearOverdue)) {
        if (group.isForwarded)
            askSpeaker(flow, waiting, group.dataCentre, group.members, packet);
        else
            m_state.network.sendToAll(group.members, { .kind = wire::PeerKind::Probe, .flow = flow, .configVersion = m_state.network.routes().version, .packet = packet });
        m_state.fates.increment(PacketFate::Probed, group.isForwarded ? 1 : group.members.size());
    }
}

void HolderFinder::askDirectly(const FlowKey& flow, const WaitingSearch& waiting, std::span<const std::uint32_t> agents)
{
    m_state.network.sendToAll(agents, { .kind = wire::PeerKind::Find, .flow = flow, .configVersion = m_state.network.routes().version, .acknowledged = waiting.acknowledged });
}

// When a delegate or one of its neighbours does not answer, another agent there gets the packet, so that one unresponsive
// agent cannot hide the holder of a flow. Asking every agent directly instead would take 40 messages a search, on balancers
// with small hosts that are already behind.
void HolderFinder::probeOverdue(Millis now)
{
    // When this process itself is late, the answers may be waiting in its socket.
    const bool isLateItself = now - std::exchange(m_turnedAt, now) > lateTurn;
    if (isLateItself)
        return;
    for (auto& [flow, waiting] : m_searches) {
        if (waiting.isOverdue || now - waiting.search.startedAt < speakerLimit)
            continue;
        waiting.isOverdue = true;
        std::vector<std::uint32_t> overdue;
        for (const Speaker& speaker : waiting.speakers) {
            const std::vector<std::uint32_t> members = awaitedOf(waiting.search, speaker.members);
            overdue.insert(overdue.end(), members.begin(), members.end());
        }
        if (!overdue.empty())
            takeUnsure(flow, waiting, overdue);
        if (!waiting.plan.waiting.empty())
            probe(flow, waiting, true);
    }
}

void HolderFinder::settleSearch(const FlowKey& flow, SearchState state)
{
    const auto found = m_searches.find(flow);
    if (found == m_searches.end() || state == SearchState::Asking)
        return;
    WaitingSearch& waiting = found->second;
    if (state == SearchState::Found) {
        const Millis now = m_state.role.clock.now();
        m_state.holders[flow] = { .agent = waiting.search.holder, .usedAt = now };
        logFlowEvent(Event::HolderFound, flow, { { "agent", addressText(waiting.search.holder) }, { "milliseconds", static_cast<std::uint64_t>(now - waiting.search.startedAt) } });
        // A holder that was probed already has the first packet.
        for (std::size_t next = wasProbed(waiting.plan, waiting.search.holder) ? 1 : 0; next < waiting.packets.size(); ++next)
            m_state.network.send(waiting.search.holder, { .kind = wire::PeerKind::Forward, .flow = flow, .configVersion = m_state.network.routes().version, .packet = waiting.packets[next] });
        m_searchEnds.increment(state);
        m_searches.erase(found);
        return;
    }
    // The route may have moved to another service since the flow was opened, and the directory may have grown since the search
    // began. The flow is lost only when every agent that is known now has denied it.
    const AgentsByDataCentre known = possibleHolders(nullptr);
    if (const auto missing = addMissingAgents(waiting.search, addressesOf(known)); !missing.empty()) {
        waiting.search.startedAt = m_state.role.clock.now();
        ask(flow, waiting, filterAgents(known, missing));
        return;
    }
    // The periodic check repeats this until a peer has confirmed the directory.
    if (!canBeCertain())
        return;
    logFlowEvent(Event::FlowLost, flow, { { "directory", m_state.network.directory().entries.size() }, { "milliseconds", static_cast<std::uint64_t>(m_state.role.clock.now() - waiting.search.startedAt) } });
    sendReset(m_state, flow, waiting.acknowledged, ResetReason::HeldByNobody);
    m_searchEnds.increment(state);
    m_searches.erase(found);
}

// Ends the searches that every agent has denied and that only waited for a peer to confirm the directory.
void HolderFinder::settleConfirmed()
{
    if (!canBeCertain())
        return;
    std::vector<FlowKey> settled;
    for (const auto& [flow, waiting] : m_searches) {
        if (waiting.search.state == SearchState::HeldByNobody)
            settled.push_back(flow);
    }
    for (const FlowKey& flow : settled)
        settleSearch(flow, SearchState::HeldByNobody);
}

bool HolderFinder::isOver(const HolderSearch& search, Millis now)
{
    const bool isWaitingForNews = search.state == SearchState::HeldByNobody || search.asked.empty();
    return now - search.startedAt > (isWaitingForNews ? newsLimit : searchLimit);
}

// A balancer with an incomplete directory could declare a flow lost that another balancer opened at an agent that this one
// does not know. The directory counts as complete while peers report the same agents.
bool HolderFinder::canBeCertain() const
{
    return m_state.network.isDirectoryConfirmed();
}

void HolderFinder::handleHolderAnswer(const PeerMessage& message, std::uint32_t sender)
{
    if (const auto load = m_state.loads.find(sender); load != m_state.loads.end())
        load->second.unanswered = 0;
    const HolderAnswer answer = holderAnswerOf(message.kind);
    const auto found = m_searches.find(message.flow);
    if (answer == HolderAnswer::NotHeld) {
        const auto holder = m_state.holders.find(message.flow);
        const bool wasCached = holder != m_state.holders.end() && holder->second.agent == sender;
        if (wasCached)
            m_state.holders.erase(holder);
        // The cached holder has sent the packet back, so a new search starts with it.
        if (wasCached && found == m_searches.end() && !message.packet.empty()) {
            DecodeError error = DecodeError::None;
            if (const auto head = m_state.adapter.decodePacket(message.packet, error))
                search(message.flow, *head, message.packet);
            return;
        }
    }
    if (found == m_searches.end())
        return;
    const SearchState state = recordAnswer(found->second.search, sender, answer);
    if (state == SearchState::Asking) {
        const std::array<std::uint32_t, 1> one { sender };
        if (answer == HolderAnswer::Unsure)
            takeUnsure(message.flow, found->second, one);
        else
            probe(message.flow, found->second, false);
    }
    settleSearch(message.flow, state);
}

void HolderFinder::turn(Millis now)
{
    beginLate();
    probeOverdue(now);
    settleConfirmed();
    std::erase_if(m_searches, [&](const auto& item) {
        const bool isEnded = isOver(item.second.search, now);
        if (isEnded)
            endUncertain(item.first, item.second.search, now);
        return isEnded;
    });
}

// The result is unknown, so the caller gets no reset: it retransmits, and the next search may find the holder. Agents that
// did not answer are recorded as unresponsive, since their hosts may be gone; the next message of a running agent clears the
// record.
void HolderFinder::endUncertain(const FlowKey& flow, const HolderSearch& search, Millis now)
{
    const std::vector<std::uint32_t> unanswered = agentsWithoutDenial(search);
    for (const std::uint32_t agent : unanswered)
        recordUnanswered(m_state.silent, agent, search.startedAt);
    m_searchEnds.increment(SearchState::Asking);
    const std::uint32_t waitsFor = unanswered.empty() ? 0 : unanswered.front();
    logFlowEvent(Event::SearchUncertain, flow, { { "silent", search.awaited.size() }, { "unsure", search.unsure.size() }, { "waitsFor", addressText(waitsFor) }, { "directoryConfirmed", canBeCertain() ? "yes" : "no" }, { "milliseconds", static_cast<std::uint64_t>(now - search.startedAt) } });
}

void HolderFinder::exposeMetrics(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_holder_searches_total", "Searches for the holder of a flow, by how they ended; asking: out of time.", m_searchEnds);
}

}
