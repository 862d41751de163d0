#include "packetbalancer.h"

#include "httpendpoint.h"
#include "libplatform/config.h"
#include "libruntime/events.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    /// Interval of the periodic work, in milliseconds.
    constexpr Millis tickInterval = 20;
    /// How often agents that do not answer are pinged, in milliseconds.
    constexpr Millis pingInterval = 200;
    /// Agents pinged in one round.
    constexpr std::size_t pingsPerRound = 16;
    /// The number of cached holders, about 70 bytes each, above which those that were not used for the longest are removed. The
    /// idle limit of a configuration may be so long that it does not bound the memory.
    constexpr std::size_t maxCachedHolders = 400000;
    constexpr Millis sweepInterval = 5000;
    /// How long routers may keep sending packets after the process was told to stop, in milliseconds: two failed readiness
    /// checks half a second apart, and some time for packets in flight.
    constexpr Millis routerNoticeTime = 1600;
    /// Time without a packet after which the routers are assumed to have noticed, in milliseconds.
    constexpr Millis ingressIdleTime = 300;
    /// How long before the end of the configured shutdown time the process ends by itself, in milliseconds.
    constexpr Millis shutdownMargin = 1000;

}

PacketBalancer::PacketBalancer(const RoleContext& role, const DeploymentAdapter& adapter)
    : m_state(role, adapter)
    , m_dispatcher(m_state)
    , m_holderFinder(m_state)
    , m_dataCentreMonitor(m_state)
    , m_lostCallers(m_state)
    , m_lookup(role.context, role.platform, m_state.network)
    , m_tickTimer(role.context)
    , m_shutdownTimer(role.context)
{
    std::function<void(std::uint32_t)> onHeard;
    if (m_dataCentreMonitor.isEnabled())
        onHeard = [this](std::uint32_t sender) { m_dataCentreMonitor.handleMessage(sender); };
    const bool hasPeers = m_state.network.start({
        .onFlowMessage = [this](const PeerMessage& message, std::uint32_t sender) { handleFlowMessage(message, sender); },
        .onHeard = std::move(onHeard),
        .onOutages = [](const std::vector<std::string>&) {},
    });
    openIngress();
    m_isStarted = hasPeers && m_ingress;
    if (!m_isStarted) {
        logEvent(Event::ChildGaveUp, { { "child", hasPeers ? "ingress" : "peers" }, { "reason", nameOf(ChildFailure::BindFailed) } });
        return;
    }
    role.root.add({ .name = "ready", .make = [this](const FailureHandler& onFailure) {
                       return std::make_unique<HttpEndpoint>(
                           m_state.role.context, m_state.role.settings.packets.ready, [this](const HttpRequest&) { return HttpResponse { .status = isReady() ? 200 : 503 }; }, onFailure);
                   } });
    m_state.network.announce({
        .name = role.settings.name,
        .role = PeerRole::Balancer,
        .address = role.settings.listen.address().to_v4().to_uint(),
        .dataCentre = role.settings.dataCentre,
    });
    tick();
}

void PacketBalancer::openIngress()
{
    const auto& address = m_state.role.settings.packets.ingress;
    DatagramError error = DatagramError::None;
    m_ingress = DatagramSocket::open(
        m_state.role.context, { address.address(), address.port() }, [this](std::span<std::uint8_t> packet, const asio::ip::udp::endpoint&) { handleCallerDatagram(packet); }, error);
}

bool PacketBalancer::isReady() const
{
    return !m_isShuttingDown && m_state.network.routes().version != 0 && m_state.network.outages().revision != 0;
}

void PacketBalancer::handleCallerDatagram(std::span<std::uint8_t> packet)
{
    m_lastCallerPacketAt = m_state.role.clock.now();
    DecodeError error = DecodeError::None;
    const auto header = m_state.adapter.decodePacket(packet, error);
    if (!header) {
        m_state.packetOutcomes.increment(CallerPacketOutcome::Malformed);
        return;
    }
    // Only upstreams acknowledge openings or return packets, so a caller cannot have sent these.
    if ((header->flags.opens && header->flags.acknowledges) || header->flags.isReturned) {
        m_state.packetOutcomes.increment(CallerPacketOutcome::Forged);
        return;
    }
    const FlowKey flow = flowFromCaller(*header);
    m_dispatcher.recordPacket(flow, *header, packet.size());
    m_lostCallers.recordCaller(flow.caller.address);
    if (isOpening(*header))
        m_dispatcher.open(flow, header->acknowledged, packet);
    else
        handleFlowPacket(flow, *header, packet);
}

void PacketBalancer::handleFlowPacket(const FlowKey& flow, const PacketHeader& header, std::span<const std::uint8_t> packet)
{
    const auto holder = m_state.holderCache.find(flow);
    // The search ends with a reset when the agents of the other data centres deny the flow.
    if (holder != m_state.holderCache.end() && isInLostDataCentre(m_state, holder->second.agent)) {
        m_state.holderCache.erase(holder);
        m_holderFinder.search(flow, header, packet);
        return;
    }
    if (holder == m_state.holderCache.end()) {
        m_holderFinder.search(flow, header, packet);
        return;
    }
    holder->second.usedAt = m_state.role.clock.now();
    if (header.flags.acknowledges)
        holder->second.acknowledged = header.acknowledged;
    holder->second.hasEnded = holder->second.hasEnded || header.flags.ends || header.flags.resets;
    m_state.network.send(holder->second.agent, { .kind = wire::PeerKind::Forward, .flow = flow, .configVersion = m_state.network.routes().version, .packet = packet });
    m_state.packetOutcomes.increment(CallerPacketOutcome::Forwarded);
}

void PacketBalancer::handleFlowMessage(const PeerMessage& message, std::uint32_t sender)
{
    recordMessage(m_state.unresponsiveAgents, sender);
    switch (message.kind) {
    case wire::PeerKind::Admitted:
        m_dispatcher.handleAdmitted(message, sender);
        break;
    case wire::PeerKind::Refused:
        m_dispatcher.handleRefused(message, sender);
        break;
    case wire::PeerKind::Held:
    case wire::PeerKind::NotHeld:
    case wire::PeerKind::Unsure:
        m_holderFinder.handleHolderAnswer(message, sender);
        break;
    case wire::PeerKind::HeldNear:
    case wire::PeerKind::NotHeldNear:
    case wire::PeerKind::UnsureNear:
        m_holderFinder.handleDelegatedAnswer(message, sender);
        break;
    case wire::PeerKind::Load:
        recordLoad(m_state, message, sender);
        break;
    case wire::PeerKind::PendingRequests:
        m_lostCallers.handleReport(message, sender);
        break;
    default:
        break;
    }
}

void PacketBalancer::handleDataCentreChange(const DataCentreChange& change)
{
    if (change.to == DataCentreState::Lost)
        m_holderFinder.handleLostDataCentre(change.dataCentre);
}

void PacketBalancer::tick()
{
    const Millis now = m_state.role.clock.now();
    if (m_state.network.mayBeStale())
        resetSilence(m_state.unresponsiveAgents);
    for (const DataCentreChange& change : m_dataCentreMonitor.tick(now))
        handleDataCentreChange(change);
    m_lookup.tick(now - m_state.startedAt);
    followStore(now);
    m_dispatcher.updateWaitingOpenings(now);
    m_dispatcher.retryOffers(now);
    m_holderFinder.tick(now);
    m_lostCallers.tick(now);
    if (now - m_lastPingAt >= pingInterval)
        pingUnresponsiveAgents(now);
    if (now - m_lastSweepAt >= sweepInterval)
        expireCachedHolders(now);
    m_tickTimer.start(tickInterval, [this] { tick(); });
}

// A few balancers follow the store and pass changes on to all other processes, so that a change costs the store a few calls
// instead of one for each process. A process without any view does not wait to be chosen, since its peers may not have one
// either.
void PacketBalancer::followStore(Millis now)
{
    const bool hasView = m_state.network.routes().version != 0 && m_state.network.outages().revision != 0;
    // After a loss of all processes none of them has a view. The first few that read the store pass the view on; otherwise
    // each process would fetch it from the store over a small link just when callers return.
    const bool isWithoutView = !hasView && isFirstReadDue(m_state.network.readers().options, now - m_state.startedAt, firstStoreReadDelay(), m_state.network.isFetchingView());
    const bool shouldFollow = !m_isShuttingDown && (isWithoutView || (hasView && shouldRead(m_state.network.readers(), m_state.role.settings.name, m_store != nullptr, readerRank(), now)));
    if (shouldFollow && !m_store) {
        m_store = std::make_unique<StoreFollower>(m_state.role.context, m_state.role.platform, m_state.adapter, m_state.network);
        logEvent(Event::StoreFollowed, { { "follows", "yes" }, { "rank", readerRank() } });
    } else if (!shouldFollow && m_store) {
        m_storeCalls += m_store->callsMade();
        m_store.reset();
        logEvent(Event::StoreFollowed, { { "follows", "no" }, { "rank", readerRank() } });
    }
    m_state.network.setFollowingStore(m_store && m_store->isCurrent());
}

// Processes that have just started ask the seeds first, so the seeds read the store without a delay. The others know their
// rank by the time that their delay has passed.
Millis PacketBalancer::firstStoreReadDelay()
{
    const PacketSettings& settings = m_state.role.settings.packets;
    const StoreReaderOptions& options = m_state.network.readers().options;
    const bool isSeed = std::ranges::any_of(settings.seeds, [this](const auto& seed) { return seed.address() == m_state.role.settings.listen.address(); });
    const Millis delay = isSeed ? 0 : firstReadDelay(options, upstreamIdOf(m_state.role.settings.name), settings.linkMegabits);
    return delay + firstReadRankDelay(options, readerRank(), isSeed);
}

std::size_t PacketBalancer::readerRank() const
{
    return balancersBefore(m_state.network.directory(), m_state.role.settings.name);
}

void PacketBalancer::pingUnresponsiveAgents(Millis now)
{
    m_lastPingAt = now;
    resetImplausibleSilence(m_state.unresponsiveAgents, m_state.network.directory().agentCount);
    std::erase_if(m_state.unresponsiveAgents.silentSince, [this](const auto& item) { return !findByAddress(m_state.network.directory(), item.first); });
    std::vector<std::uint32_t> pingTargets;
    for (const auto& [address, load] : m_state.agentLoads) {
        if (load.unanswered > 0 && !m_state.unresponsiveAgents.silentSince.contains(address))
            pingTargets.push_back(address);
    }
    for (const auto& [address, since] : m_state.unresponsiveAgents.silentSince)
        pingTargets.push_back(address);
    // Each round pings the next few agents, so that a process that receives no answers does not add to its own load.
    if (pingTargets.size() > pingsPerRound) {
        std::rotate(pingTargets.begin(), pingTargets.begin() + static_cast<std::ptrdiff_t>(m_pingRound++ * pingsPerRound % pingTargets.size()), pingTargets.end());
        pingTargets.resize(pingsPerRound);
    }
    m_state.network.sendToAll(pingTargets, { .kind = wire::PeerKind::Ping, .configVersion = m_state.network.routes().version });
}

void PacketBalancer::expireCachedHolders(Millis now)
{
    m_lastSweepAt = now;
    const IdleLimits& limits = m_state.network.idleLimits();
    std::erase_if(m_state.holderCache, [&](const auto& item) { return now > idleDeadline(limits, item.second.usedAt); });
    if (m_state.holderCache.size() <= maxCachedHolders)
        return;
    const std::vector<FlowKey> excess = longestIdle(m_state.holderCache, m_state.holderCache.size() - maxCachedHolders, [](const CachedHolder& holder) { return holder.usedAt; });
    for (const FlowKey& flow : excess)
        m_state.holderCache.erase(flow);
    logEvent(Event::IdleFlowsDropped, { { "flows", excess.size() }, { "kept", m_state.holderCache.size() }, { "idleLimit", static_cast<std::uint64_t>(m_state.network.routes().idleLimit) } });
}

// Routers keep sending until they notice that this process is not ready. Packets that arrive until then are still handled, so
// that no caller has to retransmit.
void PacketBalancer::shutDown(std::function<void()> done)
{
    const Millis now = m_state.role.clock.now();
    if (!m_isShuttingDown)
        m_shutdownStartedAt = now;
    m_isShuttingDown = true;
    const bool hasTrafficStopped = now - m_shutdownStartedAt >= routerNoticeTime && now - m_lastCallerPacketAt >= ingressIdleTime;
    const bool mustEnd = now - m_shutdownStartedAt >= m_state.role.settings.packets.leave - shutdownMargin;
    if ((hasTrafficStopped && m_dispatcher.isEmpty()) || mustEnd) {
        done();
        return;
    }
    m_shutdownTimer.start(tickInterval, [this, done = std::move(done)] { shutDown(done); });
}

std::string PacketBalancer::statusFields() const
{
    nlohmann::json agents = nlohmann::json::array();
    for (const auto& [name, entry] : m_state.network.directory().entries) {
        if (entry.role != PeerRole::Agent)
            continue;
        const auto load = m_state.agentLoads.find(entry.address);
        agents.push_back({
            { "name", name },
            { "service", entry.service },
            { "dataCentre", entry.dataCentre },
            { "state", nameOf(entry.state) },
            { "atWork", load != m_state.agentLoads.end() ? load->second.atWork : 0 },
            { "unanswered", load != m_state.agentLoads.end() ? load->second.unanswered : 0 },
        });
    }
    const nlohmann::json status {
        { "agents", agents },
        { "routesVersion", m_state.network.routes().version },
        { "out", m_state.network.outages().out },
        { "ready", isReady() },
        { "leaving", m_isShuttingDown },
        { "followsStore", m_store != nullptr },
        { "platformTrouble", nameOf(m_store ? m_store->lastError() : PlatformError::None) },
    };
    // Names from other programs may hold bytes that are no UTF-8.
    const std::string text = status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return text.substr(1, text.size() - 2);
}

void PacketBalancer::exposeMetrics(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_caller_packets_total", "Callers' packets by what was done with them.", m_state.packetOutcomes);
    exposeCounters(out, "kingcuptrail_flow_resets_total", "Flows reset by this balancer, by reason.", m_state.resets);
    exposeCounters(out, "kingcuptrail_openings_refused_total", "Refusals by agents, by reason.", m_state.refusals);
    m_holderFinder.exposeMetrics(out);
    m_dataCentreMonitor.exposeMetrics(out);
    m_dispatcher.exposeMetrics(out);
    m_lostCallers.exposeMetrics(out);
    exposeGauge(out, "kingcuptrail_cached_holders", "Flows whose holder is cached.", static_cast<double>(m_state.holderCache.size()));
    exposeCounter(out, "kingcuptrail_store_calls_total", "Calls of the store.", m_storeCalls + m_lookup.callsMade() + (m_store ? m_store->callsMade() : 0));
    m_state.network.exposeMetrics(out);
}

}
