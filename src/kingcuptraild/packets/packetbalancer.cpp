#include "packetbalancer.h"

#include "httpendpoint.h"
#include "libplatform/config.h"
#include "libruntime/events.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    /// Between two looks at what waits, in milliseconds.
    constexpr Millis turnInterval = 20;
    /// An agent that has not answered an opening for this long is passed over, in milliseconds: several round trips between
    /// data centres and some turns of a busy agent; far below the 200 ms after which the caller sends a copy.
    constexpr Millis answerLimit = 60;
    /// Processes without a view begin to read the store within this time of their start, in milliseconds.
    constexpr std::uint64_t firstReadSpread = 60;
    /// How long after its start a process may not know every agent, in milliseconds: after a loss of everything agents hear of
    /// their upstreams within a heartbeat.
    constexpr Millis learningTime = 2000;
    /// An opening that every agent refused for a passing reason is offered again after this long, in milliseconds.
    constexpr Millis againInterval = 40;
    /// Openings offered again in one turn: 600 a second, each to some agents, take a small balancer 2 % of a core.
    constexpr std::size_t offersInTurn = 12;
    /// An opening is given up after this long, in milliseconds, just before its caller gives it up (1.4 s).
    constexpr Millis openingLimit = 1300;
    /// Agents that are asked for a free slot before an opening waits at one of them. Of agents chosen by news that is up to
    /// a second old every other one was full on a day of two thirds load; a second question costs a round trip of some
    /// milliseconds and saves a wait of 50.
    constexpr std::uint32_t agentsAskedForASlot = 2;
    /// Part of openings without a free slot from which on none is asked for, and the part of each opening in that figure.
    constexpr double mostlyBusy = 0.8;
    constexpr double busySmoothing = 0.05;
    /// How long an agent's refusal keeps it behind the others, in milliseconds: it counts again within one latency target.
    constexpr Millis refusalTime = 100;
    /// An agent that does not answer is asked again this often, in milliseconds.
    constexpr Millis pingInterval = 200;
    /// A search is given up after this long, in milliseconds: the caller sends its packet again after 200 ms at the earliest.
    constexpr Millis searchLimit = 190;
    /// In a data centre with so many agents one is asked for all of them: fewer messages from three on, and worth the second
    /// round trip, which stays within the data centre.
    constexpr std::size_t fewestForOne = 4;
    /// How long that one agent may take, in milliseconds: several round trips.
    constexpr Millis speakerLimit = 30;
    /// Packets of one flow that wait for a search: what a caller has in flight.
    constexpr std::size_t waitingPackets = 16;
    /// Searches at a time. Beyond it packets are dropped as in a full queue; at 1,200 bytes a packet and a few packets each
    /// it bounds the memory at some 10 MB.
    constexpr std::size_t maxSearches = 4096;
    /// A cached holder that was not used for longer is dropped, in milliseconds; above the idle limit of flows.
    constexpr Millis holderIdleLimit = 25000;
    constexpr Millis sweepInterval = 5000;
    /// After the process was told to stop, packets still come until the routers have noticed: two misses half a second
    /// apart, and some time for the packets that are under way, in milliseconds.
    constexpr Millis noticeTime = 1600;
    /// No packet for this long means that the routers have noticed, in milliseconds.
    constexpr Millis quietTime = 300;
    /// What stays of the time to leave when the process ends by itself, in milliseconds.
    constexpr Millis leaveMargin = 1000;

    PacketBytes copyOf(std::span<const std::uint8_t> packet)
    {
        return { packet.begin(), packet.end() };
    }

}

PacketBalancer::PacketBalancer(const RoleContext& role, const DeploymentAdapter& adapter)
    : m_role(role)
    , m_adapter(adapter)
    , m_network(role.context, role.settings, role.clock)
    , m_startedAt(role.clock.now())
    , m_turnTimer(role.context)
    , m_leaveTimer(role.context)
{
    const bool hasPeers = m_network.start({
        .onFlowMessage = [this](const PeerMessage& message, std::uint32_t sender) { handleFlowMessage(message, sender); },
        .onRoutes = [] {},
        .onOutages = [](const std::vector<std::string>&) {},
        .onEntry = [](const PeerEntry&) {},
    });
    openIngress();
    m_isStarted = hasPeers && m_ingress;
    if (!m_isStarted) {
        logEvent(Event::ChildGaveUp, { { "child", hasPeers ? "ingress" : "peers" }, { "reason", nameOf(ChildFailure::BindFailed) } });
        return;
    }
    role.root.add({ .name = "ready", .make = [this](const FailureHandler& onFailure) {
                       return std::make_unique<HttpEndpoint>(
                           m_role.context, m_role.settings.packets.ready, [this](const HttpRequest&) { return HttpResponse { .status = isReady() ? 200 : 503 }; }, onFailure);
                   } });
    m_network.announce({
        .name = role.settings.name,
        .role = PeerRole::Balancer,
        .address = role.settings.listen.address().to_v4().to_uint(),
        .dataCentre = role.settings.dataCentre,
    });
    turn();
}

void PacketBalancer::openIngress()
{
    const auto& address = m_role.settings.packets.ingress;
    DatagramError error = DatagramError::None;
    m_ingress = DatagramSocket::open(
        m_role.context, { address.address(), address.port() }, [this](std::span<std::uint8_t> packet, const asio::ip::udp::endpoint&) { handleCallerDatagram(packet); }, error);
}

bool PacketBalancer::isReady() const
{
    return !m_isLeaving && m_network.routes().version != 0 && m_network.outages().revision != 0;
}

void PacketBalancer::handleCallerDatagram(std::span<std::uint8_t> packet)
{
    m_lastCallerPacketAt = m_role.clock.now();
    DecodeError error = DecodeError::None;
    const auto head = m_adapter.decodePacket(packet, error);
    if (!head) {
        m_fates.increment(PacketFate::Malformed);
        return;
    }
    // Only upstreams answer openings, and only they hand packets back.
    if ((head->flags.opens && head->flags.acknowledges) || head->flags.isReturned) {
        m_fates.increment(PacketFate::Forged);
        return;
    }
    const FlowKey flow = flowFromCaller(*head);
    if (isOpening(*head))
        handleOpening(flow, packet);
    else
        handleFlowPacket(flow, *head, packet);
}

void PacketBalancer::handleOpening(const FlowKey& flow, std::span<const std::uint8_t> packet)
{
    const Millis now = m_role.clock.now();
    // After a pause the socket holds openings whose callers have gone on over other balancers since.
    if (m_network.isInDoubt()) {
        m_fates.increment(PacketFate::NoView);
        return;
    }
    // A copy goes to the same agent, so that a flow is not opened at two; a silent agent is in doubt.
    if (const auto holder = m_holders.find(flow); holder != m_holders.end()) {
        if (m_loads[holder->second.agent].unanswered == 0) {
            holder->second.usedAt = now;
            m_network.send(holder->second.agent, { .kind = wire::PeerKind::Open, .flow = flow, .configVersion = m_network.routes().version, .packet = packet });
            m_fates.increment(PacketFate::Offered);
            return;
        }
        m_holders.erase(holder);
    }
    const auto [found, isNew] = m_openings.try_emplace(flow);
    Opening& opening = found->second;
    opening.packet = copyOf(packet);
    if (!isNew)
        return;
    opening.startedAt = now;
    offerToNext(flow, opening);
}

// Offers an opening to the best agent that has not had it yet. Without a configuration or agents it waits: a process that
// has just started learns both within some round trips, and its callers' copies would come 200 ms later.
void PacketBalancer::offerToNext(const FlowKey& flow, Opening& opening)
{
    const Millis now = m_role.clock.now();
    opening.agent = 0;
    opening.offeredAt = now;
    if (m_network.routes().version == 0 || m_network.isInDoubt()) {
        m_fates.increment(PacketFate::NoView);
        return;
    }
    const std::string* service = serviceForFlow(m_network.routes(), flow);
    if (!service) {
        finishRefused(flow, opening, ResetReason::NoRoute);
        return;
    }
    const std::vector<std::uint32_t> order = agentsFor(flow, *service);
    const auto next = std::ranges::find_if(order, [&](std::uint32_t agent) { return std::ranges::find(opening.tried, agent) == opening.tried.end(); });
    // A process that has just started may not have heard of every agent yet.
    const bool isNew = now - m_startedAt < learningTime;
    if (next == order.end() && (opening.mayTryAgain || isNew) && now - opening.startedAt < openingLimit) {
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
    const AgentLoad& load = m_loads[*next];
    logFlowEvent(Event::FlowOffered, flow, { { "agent", toString(PacketEndpoint { *next, 0 }) }, { "service", *service }, { "atWork", load.atWork }, { "loadAge", static_cast<std::uint64_t>(now - load.heardAt) }, { "candidates", order.size() }, { "try", opening.tried.size() }, { "version", m_network.routes().version } });
}

void PacketBalancer::offerTo(std::uint32_t agent, const FlowKey& flow, Opening& opening)
{
    // When hardly anybody has a free slot, asking for one only costs messages at the moment in which everybody is busy.
    const bool isWorthAsking = m_busyShare < mostlyBusy;
    const bool needsFreeSlot = isWorthAsking && opening.busyAgents < agentsAskedForASlot;
    opening.agent = agent;
    ++m_loads[agent].sentSince;
    m_network.send(agent, { .kind = wire::PeerKind::Open, .flow = flow, .configVersion = m_network.routes().version, .needsFreeSlot = needsFreeSlot, .packet = opening.packet });
    m_fates.increment(PacketFate::Offered);
}

// Nobody who was asked has a free slot: the opening waits at the one with the least work, by what they have just said.
void PacketBalancer::offerToWait(const FlowKey& flow, Opening& opening)
{
    const auto workOf = [this](std::uint32_t agent) {
        const AgentLoad& load = m_loads[agent];
        return static_cast<double>(load.atWork) / std::max(load.slots, 1U);
    };
    const auto least = std::ranges::min_element(opening.tried, {}, workOf);
    opening.offeredAt = m_role.clock.now();
    offerTo(*least, flow, opening);
}

// The opening is the caller's of `flow`; it is gone after this.
void PacketBalancer::finishRefused(const FlowKey& flow, const Opening& opening, ResetReason reason)
{
    logFlowEvent(Event::FlowRefused, flow, { { "reason", nameOf(reason) }, { "lastRefusal", nameOf(opening.lastRefusal) }, { "tried", opening.tried.size() }, { "version", m_network.routes().version } });
    sendReset(flow, 0, reason);
    m_openings.erase(flow);
}

std::vector<std::uint32_t> PacketBalancer::agentsFor(const FlowKey& flow, const std::string& service) const
{
    std::vector<AgentCandidate> candidates;
    for (const auto& [name, entry] : m_network.directory().entries) {
        const bool isUsable = entry.role == PeerRole::Agent && entry.state == PeerState::Ready && entry.service == service;
        if (!isUsable || isOut(m_network.outages(), entry.dataCentre))
            continue;
        AgentCandidate candidate { .address = entry.address, .isNear = entry.dataCentre == m_role.settings.dataCentre, .load = {} };
        if (const auto load = m_loads.find(entry.address); load != m_loads.end())
            candidate.load = load->second;
        candidate.load.slots = std::max(entry.slots, 1U);
        candidates.push_back(candidate);
    }
    return chooseAgents(flow, candidates, m_choice, m_role.clock.now());
}

void PacketBalancer::handleFlowPacket(const FlowKey& flow, const PacketHead& head, std::span<const std::uint8_t> packet)
{
    const auto holder = m_holders.find(flow);
    if (holder == m_holders.end()) {
        search(flow, head, packet);
        return;
    }
    holder->second.usedAt = m_role.clock.now();
    m_network.send(holder->second.agent, { .kind = wire::PeerKind::Forward, .flow = flow, .configVersion = m_network.routes().version, .packet = packet });
    m_fates.increment(PacketFate::Forwarded);
}

std::vector<std::uint32_t> PacketBalancer::holdersToAsk(const std::string* service) const
{
    std::vector<std::uint32_t> agents;
    for (const auto& [name, entry] : m_network.directory().entries) {
        if (entry.role == PeerRole::Agent && entry.state != PeerState::Gone && (!service || entry.service == *service))
            agents.push_back(entry.address);
    }
    return agents;
}

// The cache does not know the flow: another balancer opened it, or this process has started since. Each agent of the
// service is asked; the one that holds the flow says so within a round trip, and the packet goes there.
void PacketBalancer::search(const FlowKey& flow, const PacketHead& head, std::span<const std::uint8_t> packet)
{
    if (m_searches.size() >= maxSearches) {
        m_fates.increment(PacketFate::SearchFull);
        return;
    }
    const auto [found, isNew] = m_searches.try_emplace(flow);
    WaitingSearch& waiting = found->second;
    waiting.acknowledged = head.acknowledged;
    if (waiting.packets.size() < waitingPackets)
        waiting.packets.push_back(copyOf(packet));
    m_fates.increment(PacketFate::Waiting);
    if (!isNew) {
        for (const std::uint32_t agent : waiting.probed)
            m_network.send(agent, { .kind = wire::PeerKind::Probe, .flow = flow, .configVersion = m_network.routes().version, .packet = packet });
        return;
    }
    std::vector<std::uint32_t> agents = holdersToAsk(serviceForFlow(m_network.routes(), flow));
    waiting.search = beginSearch(agents, m_role.clock.now());
    ask(flow, waiting, agents);
}

// Asks the awaited agents: in a data centre with several of them one agent, who asks the others, and elsewhere each.
void PacketBalancer::ask(const FlowKey& flow, WaitingSearch& waiting, std::span<const std::uint32_t> agents)
{
    const FlowMessage question { .kind = wire::PeerKind::Find, .flow = flow, .configVersion = m_network.routes().version, .acknowledged = waiting.acknowledged };
    std::map<std::string, std::vector<std::uint32_t>> byDataCentre;
    for (const auto& [name, entry] : m_network.directory().entries) {
        if (std::ranges::find(agents, entry.address) != agents.end())
            byDataCentre[entry.dataCentre].push_back(entry.address);
    }
    for (const auto& [dataCentre, members] : byDataCentre) {
        if (members.size() < fewestForOne) {
            m_network.sendToAll(members, question);
            continue;
        }
        FlowMessage near = question;
        near.kind = wire::PeerKind::FindNear;
        near.digest = m_network.digest();
        const std::uint32_t speaker = speakerOf(flow, members);
        m_network.send(speaker, near);
        waiting.speakers.push_back({ .address = speaker, .dataCentre = dataCentre });
    }
}

// Any of them will do; the flow's hash spreads searches over all, and one that does not answer is passed over.
std::uint32_t PacketBalancer::speakerOf(const FlowKey& flow, std::span<const std::uint32_t> members) const
{
    const std::size_t first = flowHash(flow) % members.size();
    for (std::size_t step = 0; step < members.size(); ++step) {
        const std::uint32_t member = members[(first + step) % members.size()];
        const auto load = m_loads.find(member);
        if (load == m_loads.end() || load->second.unanswered == 0)
            return member;
    }
    return members[first];
}

// The word of one agent for its data centre.
void PacketBalancer::handleNearAnswer(const PeerMessage& message, std::uint32_t sender)
{
    const auto found = m_searches.find(message.flow);
    if (found == m_searches.end())
        return;
    WaitingSearch& waiting = found->second;
    if (message.kind == wire::PeerKind::HeldNear) {
        settleSearch(message.flow, takeAnswer(waiting.search, message.holder, HolderAnswer::Held));
        return;
    }
    const auto speaker = std::ranges::find(waiting.speakers, sender, &Speaker::address);
    if (speaker == waiting.speakers.end())
        return;
    const std::vector<std::uint32_t> members = awaitedIn(waiting.search, speaker->dataCentre);
    waiting.speakers.erase(speaker);
    if (message.kind == wire::PeerKind::UnsureNear) {
        takeUnsure(message.flow, waiting, members);
        return;
    }
    SearchState state = SearchState::Asking;
    for (const std::uint32_t member : members)
        state = takeAnswer(waiting.search, member, HolderAnswer::NotHeld);
    if (state == SearchState::Asking)
        probeNext(message.flow, waiting);
    settleSearch(message.flow, state);
}

// Agents that were restarted beside living upstreams know no flows; only the packet itself tells, delivered and handed back
// or not. A copy to each of them would be some sixty of each packet just when every flow has to be found anew. Those of the
// own data centre go first, where most flows are; those of other services last, since a flow is there only if its route
// has moved, and yet their no is needed before a flow is lost for certain.
void PacketBalancer::takeUnsure(const FlowKey& flow, WaitingSearch& waiting, std::span<const std::uint32_t> agents)
{
    const std::string* service = serviceForFlow(m_network.routes(), flow);
    std::vector<std::uint32_t> near;
    for (const std::uint32_t agent : agents) {
        const PeerEntry* entry = findByAddress(m_network.directory(), agent);
        if (!entry)
            continue;
        takeAnswer(waiting.search, agent, HolderAnswer::Unsure);
        if (!service || entry->service != *service)
            waiting.probeLast.push_back(agent);
        else if (entry->dataCentre == m_role.settings.dataCentre)
            near.push_back(agent);
        else
            waiting.probeLater.push_back(agent);
    }
    probe(flow, waiting, near);
    probeNext(flow, waiting);
}

// Goes on to the next agents when those that have the packets have all said no.
void PacketBalancer::probeNext(const FlowKey& flow, WaitingSearch& waiting)
{
    if (mayProbedHold(waiting, true))
        return;
    if (!waiting.probeLater.empty()) {
        probe(flow, waiting, std::exchange(waiting.probeLater, {}));
        return;
    }
    if (!waiting.probeLast.empty() && waiting.search.awaited.empty() && !mayProbedHold(waiting, false))
        probe(flow, waiting, std::exchange(waiting.probeLast, {}));
}

void PacketBalancer::probe(const FlowKey& flow, WaitingSearch& waiting, std::span<const std::uint32_t> agents)
{
    for (const PacketBytes& packet : waiting.packets)
        m_network.sendToAll(agents, { .kind = wire::PeerKind::Probe, .flow = flow, .configVersion = m_network.routes().version, .packet = packet });
    waiting.probed.insert(waiting.probed.end(), agents.begin(), agents.end());
    m_fates.increment(PacketFate::Probed, waiting.packets.size() * agents.size());
}

bool PacketBalancer::mayProbedHold(const WaitingSearch& waiting, bool nearOnly) const
{
    const auto isNear = [this](std::uint32_t agent) {
        const PeerEntry* entry = findByAddress(m_network.directory(), agent);
        return entry && entry->dataCentre == m_role.settings.dataCentre;
    };
    return std::ranges::any_of(waiting.probed, [&](std::uint32_t agent) {
        return (!nearOnly || isNear(agent)) && std::ranges::find(waiting.search.unsure, agent) != waiting.search.unsure.end();
    });
}

std::vector<std::uint32_t> PacketBalancer::awaitedIn(const HolderSearch& search, const std::string& dataCentre) const
{
    std::vector<std::uint32_t> members;
    for (const auto& [name, entry] : m_network.directory().entries) {
        if (entry.dataCentre == dataCentre && std::ranges::find(search.awaited, entry.address) != search.awaited.end())
            members.push_back(entry.address);
    }
    return members;
}

void PacketBalancer::askDirectly(const FlowKey& flow, const WaitingSearch& waiting, std::span<const std::uint32_t> agents)
{
    m_network.sendToAll(agents, { .kind = wire::PeerKind::Find, .flow = flow, .configVersion = m_network.routes().version, .acknowledged = waiting.acknowledged });
}

// An agent that speaks for its data centre may be silent, or one of its neighbours: then each is asked.
void PacketBalancer::askSilentDirectly(Millis now)
{
    for (auto& [flow, waiting] : m_searches) {
        if (!waiting.probeLater.empty() && now - waiting.search.startedAt >= speakerLimit)
            probe(flow, waiting, std::exchange(waiting.probeLater, {}));
        if (waiting.speakers.empty() || now - waiting.search.startedAt < speakerLimit)
            continue;
        waiting.speakers.clear();
        askDirectly(flow, waiting, waiting.search.awaited);
    }
}

void PacketBalancer::settleSearch(const FlowKey& flow, SearchState state)
{
    const auto found = m_searches.find(flow);
    if (found == m_searches.end() || state == SearchState::Asking)
        return;
    WaitingSearch& waiting = found->second;
    if (state == SearchState::Found) {
        const Millis now = m_role.clock.now();
        m_holders[flow] = { .agent = waiting.search.holder, .usedAt = now };
        logFlowEvent(Event::HolderFound, flow, { { "agent", toString(PacketEndpoint { waiting.search.holder, 0 }) }, { "milliseconds", static_cast<std::uint64_t>(now - waiting.search.startedAt) } });
        // A holder that was unsure has the packets already.
        const bool hasPackets = std::ranges::find(waiting.probed, waiting.search.holder) != waiting.probed.end();
        for (const PacketBytes& packet : hasPackets ? std::vector<PacketBytes> {} : waiting.packets)
            m_network.send(waiting.search.holder, { .kind = wire::PeerKind::Forward, .flow = flow, .configVersion = m_network.routes().version, .packet = packet });
        m_searchEnds.increment(state);
        m_searches.erase(found);
        return;
    }
    // A configuration may have moved the route since the flow was opened, and the directory may have grown since the search
    // began: whoever is known by now has to say so too.
    if (const auto missing = askMissing(waiting.search, holdersToAsk(nullptr)); !missing.empty()) {
        ask(flow, waiting, missing);
        return;
    }
    if (canBeCertain()) {
        logFlowEvent(Event::FlowLost, flow, { { "directory", m_network.directory().entries.size() } });
        sendReset(flow, waiting.acknowledged, ResetReason::HeldByNobody);
    }
    m_searchEnds.increment(state);
    m_searches.erase(found);
}

// A balancer that has not heard of every agent could take a flow for lost that one of them holds: another balancer may have
// opened it there. The directory is complete when a peer has lately named the same one.
bool PacketBalancer::canBeCertain() const
{
    return m_network.isDirectoryConfirmed();
}

void PacketBalancer::handleFlowMessage(const PeerMessage& message, std::uint32_t sender)
{
    switch (message.kind) {
    case wire::PeerKind::Admitted:
        handleAdmitted(message, sender);
        break;
    case wire::PeerKind::Refused:
        handleRefused(message, sender);
        break;
    case wire::PeerKind::Held:
    case wire::PeerKind::NotHeld:
    case wire::PeerKind::Unsure:
        handleHolderAnswer(message, sender);
        break;
    case wire::PeerKind::HeldNear:
    case wire::PeerKind::NotHeldNear:
    case wire::PeerKind::UnsureNear:
        handleNearAnswer(message, sender);
        break;
    case wire::PeerKind::Load:
        noteLoad(message, sender);
        break;
    default:
        break;
    }
}

void PacketBalancer::noteLoad(const PeerMessage& message, std::uint32_t sender)
{
    AgentLoad& load = m_loads[sender];
    const Millis refusesUntil = load.refusesUntil;
    load = message.load;
    load.heardAt = m_role.clock.now();
    load.refusesUntil = refusesUntil;
}

void PacketBalancer::noteBusy(double isBusy)
{
    m_busyShare += (isBusy - m_busyShare) * busySmoothing;
}

void PacketBalancer::handleAdmitted(const PeerMessage& message, std::uint32_t sender)
{
    noteLoad(message, sender);
    const Millis now = m_role.clock.now();
    const auto opening = m_openings.find(message.flow);
    if (opening != m_openings.end()) {
        m_openingTimes.record(static_cast<double>(now - opening->second.startedAt));
        if (opening->second.busyAgents == 0)
            noteBusy(0.0);
        m_openings.erase(opening);
        m_holders[message.flow] = { .agent = sender, .usedAt = now };
        return;
    }
    m_holders.try_emplace(message.flow, Holder { .agent = sender, .usedAt = now });
}

void PacketBalancer::handleRefused(const PeerMessage& message, std::uint32_t sender)
{
    noteLoad(message, sender);
    m_refusals.increment(message.refusal);
    if (const auto holder = m_holders.find(message.flow); holder != m_holders.end() && holder->second.agent == sender)
        m_holders.erase(holder);
    auto opening = m_openings.find(message.flow);
    // A refusal that comes after the opening is settled is from an agent that stood still: the caller has long gone on.
    if (opening == m_openings.end() && message.refusal != OpenRefusal::Returned && message.refusal != OpenRefusal::WaitedTooLong)
        return;
    if (opening == m_openings.end()) {
        // An opening that was admitted before: its upstream has handed it back since, or it has waited in vain.
        opening = m_openings.try_emplace(message.flow).first;
        opening->second.packet = copyOf(message.packet);
        opening->second.startedAt = m_role.clock.now();
        opening->second.tried.push_back(sender);
        opening->second.agent = sender;
    }
    opening->second.lastRefusal = message.refusal;
    if (message.refusal == OpenRefusal::WaitedTooLong) {
        finishRefused(message.flow, opening->second, ResetReason::RefusedByAll);
        return;
    }
    if (message.refusal == OpenRefusal::Busy) {
        noteBusy(1.0);
        if (++opening->second.busyAgents == agentsAskedForASlot) {
            offerToWait(message.flow, opening->second);
            return;
        }
    } else {
        m_loads[sender].refusesUntil = m_role.clock.now() + refusalTime;
    }
    opening->second.mayTryAgain = opening->second.mayTryAgain || isPassing(message.refusal);
    if (opening->second.agent == sender)
        offerToNext(message.flow, opening->second);
}

void PacketBalancer::handleHolderAnswer(const PeerMessage& message, std::uint32_t sender)
{
    if (const auto load = m_loads.find(sender); load != m_loads.end())
        load->second.unanswered = 0;
    const HolderAnswer answer = holderAnswerOf(message.kind);
    const auto found = m_searches.find(message.flow);
    if (answer == HolderAnswer::NotHeld) {
        const auto holder = m_holders.find(message.flow);
        const bool wasCached = holder != m_holders.end() && holder->second.agent == sender;
        if (wasCached)
            m_holders.erase(holder);
        // A packet that comes back from the cached holder is looked after anew.
        if (wasCached && found == m_searches.end() && !message.packet.empty()) {
            DecodeError error = DecodeError::None;
            if (const auto head = m_adapter.decodePacket(message.packet, error))
                search(message.flow, *head, message.packet);
            return;
        }
    }
    if (found == m_searches.end())
        return;
    const SearchState state = takeAnswer(found->second.search, sender, answer);
    if (state == SearchState::Asking) {
        const std::array<std::uint32_t, 1> one { sender };
        if (answer == HolderAnswer::Unsure)
            takeUnsure(message.flow, found->second, one);
        else
            probeNext(message.flow, found->second);
    }
    settleSearch(message.flow, state);
}

void PacketBalancer::sendReset(const FlowKey& flow, std::uint32_t sequence, ResetReason reason)
{
    m_resets.increment(reason);
    const auto packet = m_adapter.encodeReset(flow, sequence);
    m_network.sendPacket(packet, { asio::ip::address_v4(flow.caller.address), m_role.settings.packets.ingress.port() });
}

void PacketBalancer::turn()
{
    const Millis now = m_role.clock.now();
    m_network.isInDoubt();
    followStore(now);
    offerUnansweredAgain(now);
    askSilentDirectly(now);
    const std::size_t outOfTime = std::erase_if(m_searches, [now](const auto& item) { return now - item.second.search.startedAt > searchLimit; });
    m_searchEnds.increment(SearchState::Asking, outOfTime);
    if (now - m_pingedAt >= pingInterval)
        pingSilentAgents(now);
    if (now - m_sweptAt >= sweepInterval)
        sweepHolders(now);
    m_turnTimer.start(turnInterval, [this] { turn(); });
}

// A few balancers follow the store and tell all others, so that a change costs the store some calls and not one for each
// process. Without any view a process reads at once: nobody else may know more.
void PacketBalancer::followStore(Millis now)
{
    const bool hasView = m_network.routes().version != 0 && m_network.outages().revision != 0;
    // After a loss of everything nobody has a view. The first few to read hand it to the others, who would each fetch it
    // from the store over a small link at the moment in which callers return.
    const Millis patience = static_cast<Millis>(upstreamIdOf(m_role.settings.name) % firstReadSpread);
    const bool isWithoutView = !hasView && now - m_startedAt >= patience;
    const bool isWanted = !m_isLeaving && (isWithoutView || (hasView && shouldRead(m_network.readers(), m_role.settings.name, m_store != nullptr, readerRank(), now)));
    if (isWanted && !m_store) {
        m_store = std::make_unique<StoreFollower>(m_role.context, m_role.platform, m_adapter, m_network);
        logEvent(Event::StoreFollowed, { { "follows", "yes" }, { "rank", readerRank() } });
    } else if (!isWanted && m_store) {
        m_storeCalls += m_store->callsMade();
        m_store.reset();
        logEvent(Event::StoreFollowed, { { "follows", "no" }, { "rank", readerRank() } });
    }
    m_network.setReading(m_store && m_store->isCurrent());
}

std::size_t PacketBalancer::readerRank() const
{
    std::size_t rank = 0;
    for (const auto& [name, entry] : m_network.directory().entries) {
        const bool isBefore = entry.role == PeerRole::Balancer && entry.state == PeerState::Ready && name < m_role.settings.name;
        rank += isBefore ? 1 : 0;
    }
    return rank;
}

void PacketBalancer::offerUnansweredAgain(Millis now)
{
    std::vector<FlowKey> late;
    for (const auto& [flow, opening] : m_openings) {
        if (now - opening.offeredAt >= (opening.agent == 0 ? againInterval : answerLimit))
            late.push_back(flow);
    }
    // The newest first: it can still be answered in time. Few at once, since each may go to several agents.
    std::ranges::sort(late, std::greater(), [this](const FlowKey& flow) { return m_openings.at(flow).startedAt; });
    if (late.size() > offersInTurn)
        late.resize(offersInTurn);
    for (const FlowKey& flow : late) {
        Opening& opening = m_openings.at(flow);
        if (now - opening.startedAt > openingLimit) {
            finishRefused(flow, opening, ResetReason::NoAgent);
            continue;
        }
        if (opening.agent != 0)
            ++m_loads[opening.agent].unanswered;
        offerToNext(flow, opening);
    }
}

void PacketBalancer::pingSilentAgents(Millis now)
{
    m_pingedAt = now;
    for (const auto& [address, load] : m_loads) {
        if (load.unanswered > 0)
            m_network.send(address, { .kind = wire::PeerKind::Ping, .configVersion = m_network.routes().version });
    }
}

void PacketBalancer::sweepHolders(Millis now)
{
    m_sweptAt = now;
    std::erase_if(m_holders, [now](const auto& item) { return now - item.second.usedAt > holderIdleLimit; });
}

// Routers keep sending until they have noticed that this process is not ready. What they send until then is carried, so
// that no caller waits for a copy of its packet.
void PacketBalancer::shutDown(std::function<void()> done)
{
    const Millis now = m_role.clock.now();
    if (!m_isLeaving)
        m_leavingSince = now;
    m_isLeaving = true;
    const bool isNoticed = now - m_leavingSince >= noticeTime && now - m_lastCallerPacketAt >= quietTime;
    const bool mustEnd = now - m_leavingSince >= m_role.settings.packets.leave - leaveMargin;
    if ((isNoticed && m_openings.empty()) || mustEnd) {
        done();
        return;
    }
    m_leaveTimer.start(turnInterval, [this, done = std::move(done)] { shutDown(done); });
}

std::string PacketBalancer::statusMembers() const
{
    nlohmann::json agents = nlohmann::json::array();
    for (const auto& [name, entry] : m_network.directory().entries) {
        if (entry.role != PeerRole::Agent)
            continue;
        const auto load = m_loads.find(entry.address);
        agents.push_back({
            { "name", name },
            { "service", entry.service },
            { "dataCentre", entry.dataCentre },
            { "state", nameOf(entry.state) },
            { "atWork", load != m_loads.end() ? load->second.atWork : 0 },
            { "unanswered", load != m_loads.end() ? load->second.unanswered : 0 },
        });
    }
    const nlohmann::json status {
        { "agents", agents },
        { "routesVersion", m_network.routes().version },
        { "out", m_network.outages().out },
        { "ready", isReady() },
        { "leaving", m_isLeaving },
        { "followsStore", m_store != nullptr },
        { "platformTrouble", nameOf(m_store ? m_store->lastReason() : PlatformError::None) },
    };
    const std::string text = status.dump();
    return text.substr(1, text.size() - 2);
}

void PacketBalancer::exposeMetrics(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_caller_packets_total", "Callers' packets by what was done with them.", m_fates);
    exposeCounters(out, "kingcuptrail_flow_resets_total", "Flows reset by this balancer, by reason.", m_resets);
    exposeCounters(out, "kingcuptrail_openings_refused_total", "Refusals by agents, by reason.", m_refusals);
    exposeCounters(out, "kingcuptrail_holder_searches_total", "Searches for the holder of a flow, by how they ended.", m_searchEnds);
    m_openingTimes.expose(out, "kingcuptrail_opening_milliseconds", "Time until an agent took an opening, in milliseconds.");
    exposeGauge(out, "kingcuptrail_cached_holders", "Flows whose holder is cached.", static_cast<double>(m_holders.size()));
    exposeCounter(out, "kingcuptrail_store_calls_total", "Calls of the store.", m_storeCalls + (m_store ? m_store->callsMade() : 0));
    m_network.exposeMetrics(out);
}

}
