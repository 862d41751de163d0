#include "packetagent.h"

#include "httpendpoint.h"
#include "libruntime/events.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    constexpr Millis tickInterval = 100;
    /// Shortest time between two Load messages to balancers, in milliseconds; they are sent only when the load has changed. It
    /// is shorter while openings wait here, so that balancers soon offer openings to others with room.
    constexpr Millis loadInterval = 1000;
    constexpr Millis queueingLoadInterval = 200;
    /// Weight of the newest sample in the smoothed load. One sample is taken in each tick.
    constexpr float loadSmoothing = 0.2F;
    /// The smallest change of the smoothed load that is sent to balancers.
    constexpr float minLoadChange = 0.1F;
    /// Balancers that have sent nothing for longer get no Load messages, in milliseconds.
    constexpr Millis balancerIdleLimit = 2000;
    /// How long this process may receive no gossip before it follows the store itself, in milliseconds: after its start,
    /// and after the last gossip.
    constexpr Millis startGossipTimeout = 400;
    constexpr Millis gossipTimeout = 3000;
    /// How long an agent that shuts down keeps carrying open flows, in milliseconds.
    constexpr Millis flowDrainTime = 400;
    constexpr Millis shutdownMargin = 1000;
    /// How long an agent that shuts down keeps checking whether it has an upstream, in milliseconds: the time of the first
    /// refused connections and a few ticks.
    constexpr Millis upstreamCheckTime = 600;

}

PacketAgent::PacketAgent(const RoleContext& role, const DeploymentAdapter& adapter)
    : m_state(role, adapter)
    , m_admission(m_state)
    , m_neighbours(m_state)
    , m_learning(m_state)
    , m_pendingReporter(m_state)
    , m_announcement(role.context, role.platform)
    , m_untrackedFlows { .options = untrackedFlowsOptions(role.settings.packets.reportInterval), .startedAtWall = unixMillis() }
    , m_loss(m_state, m_untrackedFlows, m_admission, [this] { announceState(); })
    , m_reportHandler(m_state, m_untrackedFlows, m_loss, [this] { announceState(); })
    , m_connectCheck(role.context)
    , m_endWatch(m_state, m_untrackedFlows, [this] { m_loss.handleEndSigns(); })
    , m_connection(m_state, [this] { m_loss.handleEndSigns(); })
    , m_tickTimer(role.context)
    , m_shutdownTimer(role.context)
{
    m_state.flowAdmission.evidence.options = evidenceOptions(role.settings.packets.addressReuse, role.settings.packets.reportInterval);
    updateIdleLimits(m_state.flows, m_state.network.idleLimits(), m_state.startedAt);
    const bool hasPeers = m_state.network.start({
        .onFlowMessage = [this](const PeerMessage& message, std::uint32_t sender) { handleFlowMessage(message, sender); },
        .onOutages = [this](const std::vector<std::string>& returned) { handleOutages(returned); },
    });
    const auto& outbound = role.settings.packets.outbound;
    DatagramError error = DatagramError::None;
    m_outbound = DatagramSocket::open(
        role.context, { outbound.address(), outbound.port() }, [this](std::span<std::uint8_t> packet, const asio::ip::udp::endpoint&) { handleUpstreamDatagram(packet); }, error);
    const auto& upstream = role.settings.packets.upstream;
    m_state.upstreamSocket = std::make_unique<UpstreamSocket>(role.context, [this] { m_loss.handlePortClosed(); });
    const bool hasUpstreamSocket = m_state.upstreamSocket->open(role.settings.listen.address(), { upstream.address(), upstream.port() });
    m_isStarted = hasPeers && m_outbound && hasUpstreamSocket;
    if (!m_isStarted) {
        logEvent(Event::ChildGaveUp, { { "child", hasPeers && m_outbound ? "upstream" : (hasPeers ? "outbound" : "peers") }, { "reason", nameOf(ChildFailure::BindFailed) } });
        return;
    }
    role.root.add({ .name = "control", .make = [this](const FailureHandler& onFailure) {
                       return std::make_unique<HttpEndpoint>(
                           m_state.role.context, m_state.role.settings.packets.control, [this](const HttpRequest& request) { return m_reportHandler.handleRequest(request); }, onFailure);
                   } });
    role.root.add({ .name = "ready", .make = [this](const FailureHandler& onFailure) {
                       return std::make_unique<HttpEndpoint>(
                           m_state.role.context, m_state.role.settings.packets.ready, [this](const HttpRequest&) { return HttpResponse { .status = isServingNow() ? 200 : 503 }; }, onFailure);
                   } });
    m_announcement.setOnFound([this](const PeerEntry& found) {
        m_state.network.updateEntry(found);
        m_state.self = m_state.network.self();
    });
    tick();
}

bool PacketAgent::isServingNow() const
{
    return !m_state.flowAdmission.isLeaving && isServing(m_state.flowAdmission, m_state.role.clock.now());
}

void PacketAgent::handleFlowMessage(const PeerMessage& message, std::uint32_t sender)
{
    const bool isFromNeighbour = message.kind == wire::PeerKind::Held || message.kind == wire::PeerKind::NotHeld || message.kind == wire::PeerKind::Unsure;
    if (isFromNeighbour) {
        m_neighbours.handleAnswer(message, sender);
        return;
    }
    if (message.kind == wire::PeerKind::Find) {
        handleFind(message, sender);
        return;
    }
    // A probe may come from a neighbour, which needs no Load messages, so its sender is not recorded as a balancer.
    if (message.kind == wire::PeerKind::Probe) {
        handleForward(message, sender);
        return;
    }
    m_activeBalancers[sender] = m_state.role.clock.now();
    switch (message.kind) {
    case wire::PeerKind::Open:
        m_admission.open(message, sender);
        m_endWatch.startIfNeeded();
        break;
    case wire::PeerKind::Forward:
        handleForward(message, sender);
        break;
    case wire::PeerKind::FindNear:
        m_neighbours.begin(message, sender);
        break;
    case wire::PeerKind::Ping:
        sendReply(m_state, sender, { .kind = wire::PeerKind::Load });
        break;
    default:
        break;
    }
}

void PacketAgent::handleForward(const PeerMessage& message, std::uint32_t sender)
{
    DecodeError error = DecodeError::None;
    const auto header = m_state.adapter.decodePacket(message.packet, error);
    // An upstream returns packets of flows that it does not hold, but it accepts openings, so these need admission.
    if (!header || isOpening(*header) || flowFromCaller(*header) != message.flow) {
        m_state.packetOutcomes.increment(header ? AgentPacketOutcome::Forged : AgentPacketOutcome::Malformed);
        return;
    }
    const Millis now = m_state.role.clock.now();
    discardOpening(m_state.unansweredOpenings, message.flow);
    const std::uint32_t index = markOf(m_state, sender);
    const std::uint64_t requestsBefore = m_state.flows.requests;
    const CallerPacketAction action = trackCallerPacket(m_state.flows, message.flow, *header, now, sender);
    if (m_state.flows.requests != requestsBefore) {
        recordRequest(m_state.health, now);
        m_pendingReporter.recordRequest(message.flow);
    }
    const bool isProbe = message.kind == wire::PeerKind::Probe;
    switch (action) {
    case CallerPacketAction::Deliver:
        keepCallerPacket(m_state.flows, message.flow, *header, message.packet);
        m_state.packetOutcomes.increment(AgentPacketOutcome::Delivered);
        deliverToUpstream(m_state, message.packet, index, header->dataLength > 0);
        break;
    case CallerPacketAction::DeliverToLearn:
        m_state.packetOutcomes.increment(AgentPacketOutcome::DeliveredToLearn);
        m_learning.beginCheck(message.flow, { .requester = sender, .since = now, .isProbe = isProbe, .acknowledged = header->acknowledged });
        deliverToUpstream(m_state, message.packet, index, header->dataLength > 0);
        break;
    case CallerPacketAction::NotHeld:
        m_state.packetOutcomes.increment(AgentPacketOutcome::HandedBack);
        break;
    }
    // The sender of a Probe has kept the packet and gets only the answer; the sender of a Forward gets the packet back.
    if (const auto answer = answerToProbe(action); isProbe && answer)
        sendReply(m_state, sender, { .kind = peerKindOf(*answer), .flow = message.flow });
    else if (!isProbe && action == CallerPacketAction::NotHeld)
        sendReply(m_state, sender, { .kind = wire::PeerKind::NotHeld, .flow = message.flow, .packet = message.packet });
    m_endWatch.startIfNeeded();
}

void PacketAgent::handleFind(const PeerMessage& message, std::uint32_t sender)
{
    const HolderAnswer answer = answerHolderQuery(m_state.flows, message.flow, message.acknowledged, m_state.role.clock.now());
    sendReply(m_state, sender, { .kind = peerKindOf(answer), .flow = message.flow });
}

void PacketAgent::handleUpstreamDatagram(std::span<std::uint8_t> packet)
{
    DecodeError error = DecodeError::None;
    const auto header = m_state.adapter.decodePacket(packet, error);
    if (!header) {
        m_state.packetOutcomes.increment(AgentPacketOutcome::Malformed);
        return;
    }
    const Millis now = m_state.role.clock.now();
    recordUpstreamPacket(m_state.upstreamEnd, now);
    const FlowKey flow = header->flags.isReturned ? flowFromCaller(*header) : flowFromUpstream(*header);
    discardOpening(m_state.unansweredOpenings, flow);
    if (header->flags.isReturned) {
        handleReturned(flow, packet, *header);
        return;
    }
    if (showsSameProcess(m_state.flows, flow, *header))
        m_reportHandler.handleFlowPacket(flow, now);
    const UpstreamPacketEffect effect = trackUpstreamPacket(m_state.flows, flow, *header, now);
    updateHealth(effect, now);
    if (effect.answerTime) {
        recordRouteTime(m_state.routeTimes, flow.service, *effect.answerTime, now);
        m_state.answerTimes.record(static_cast<double>(*effect.answerTime));
    }
    if (!header->flags.resets) {
        recordFlowPacket(m_untrackedFlows);
        m_state.flows.isComplete = knowsEveryFlow(m_untrackedFlows);
    }
    if (const auto check = m_learning.finishCheck(flow)) {
        const bool isHeld = !header->flags.resets;
        sendReply(m_state, check->requester, { .kind = isHeld ? wire::PeerKind::Held : wire::PeerKind::NotHeld, .flow = flow });
    }
    if (effect.isLearnt)
        logFlowEvent(Event::FlowLearnt, flow, { { "open", m_state.flows.open } });
    m_state.packetOutcomes.increment(AgentPacketOutcome::ToCaller);
    m_state.network.sendPacket(packet, { asio::ip::address_v4(flow.caller.address), m_state.role.settings.packets.ingress.port() });
    m_admission.admitWaiting();
}

void PacketAgent::updateHealth(const UpstreamPacketEffect& effect, Millis now)
{
    if (effect.isRequestAnswered) {
        if (m_state.health.isFailing)
            logEvent(Event::UpstreamAnswersAgain, { { "after", static_cast<std::uint64_t>(now - m_state.health.failedAt) }, { "brokenOff", m_state.health.failures } });
        recordAnswered(m_state.health);
    } else if (effect.isRequestAborted && recordAborted(m_state.health, now)) {
        logEvent(Event::UpstreamFailing, { { "reason", "brokenOff" }, { "unanswered", m_state.health.unanswered }, { "brokenOff", m_state.health.failures }, { "atWork", m_state.flows.atWork }, { "reportAge", static_cast<std::uint64_t>(now - m_state.flowAdmission.reportedAt) } });
    }
}

// Checks for requests that the upstream has left unanswered for too long.
void PacketAgent::checkUnansweredRequests(Millis now)
{
    if (!m_state.flowAdmission.upstream || m_state.health.unanswered == 0)
        return;
    const Millis target = maxLatencyTarget(m_state.network.routes(), m_state.flowAdmission.upstream->service);
    if (target > 0 && detectHang(m_state.health, target, now))
        logEvent(Event::UpstreamFailing, { { "reason", "noAnswer" }, { "unanswered", m_state.health.unanswered }, { "brokenOff", m_state.health.failures }, { "atWork", m_state.flows.atWork }, { "reportAge", static_cast<std::uint64_t>(now - m_state.flowAdmission.reportedAt) } });
}

// The upstream has returned a packet because it does not hold the flow or cannot accept it. This overrides the agent's own
// flow table.
void PacketAgent::handleReturned(const FlowKey& flow, std::span<std::uint8_t> packet, const PacketHeader& header)
{
    m_state.packetOutcomes.increment(AgentPacketOutcome::Returned);
    m_loss.handleReturned(flow);
    const auto check = m_learning.finishCheck(flow);
    const bool isProbe = check && check->isProbe;
    if (header.mark == 0 || header.mark > m_state.senders.size())
        return;
    const std::uint32_t sender = m_state.senders[header.mark - 1];
    m_state.adapter.clearMarks(packet);
    if (isOpening(header)) {
        m_state.refusals.increment(OpeningRefusal::Returned);
        logFlowEvent(Event::OpeningRefused, flow, { { "reason", nameOf(OpeningRefusal::Returned) }, { "atWork", m_state.flows.atWork }, { "open", m_state.flows.open } });
        sendReply(m_state, sender, { .kind = wire::PeerKind::Refused, .flow = flow, .refusal = OpeningRefusal::Returned, .packet = packet });
    } else {
        const std::span<const std::uint8_t> returned = isProbe ? std::span<const std::uint8_t>() : packet;
        sendReply(m_state, sender, { .kind = wire::PeerKind::NotHeld, .flow = flow, .packet = returned });
    }
}

// Checks whether an upstream is running. Once it is known that there is none, this agent holds no flows and can deny every
// flow for certain.
void PacketAgent::checkUpstreamPresence(Millis now)
{
    if (m_untrackedFlows.isGone && !m_untrackedFlows.hasReport)
        withdrawFormerEntry();
    m_untrackedFlows.mayRefuseConnections = !m_state.flows.isComplete && wasDraining();
    if (recordListening(m_untrackedFlows, now)) {
        m_state.flows.isComplete = knowsEveryFlow(m_untrackedFlows);
        if (!m_untrackedFlows.hasReport)
            m_announcement.find(m_state.role.settings.name);
        logEvent(Event::UpstreamMissing, { { "refusals", m_untrackedFlows.refusals }, { "silence", static_cast<std::uint64_t>(m_untrackedFlows.silence) } });
        return;
    }
    if (!shouldConnect(m_untrackedFlows))
        return;
    const auto& upstream = m_state.role.settings.packets.upstream;
    m_connectCheck.attempt({ upstream.address(), upstream.port() }, [this](ConnectionOutcome outcome) { recordConnection(m_untrackedFlows, outcome, m_state.role.clock.now()); });
}

// Withdraws the entry that an earlier process announced for an upstream that is not running. The host may be removed at any
// moment without notice; the entry would stay in the directory, and every search would wait for this agent. After a loss of
// power only the store has the entry, and this process may learn of it, from the store or from a peer, long after it found
// that its upstream is missing. A later report of the upstream announces it again.
void PacketAgent::withdrawFormerEntry()
{
    const PeerEntry entry = lastEntry();
    if (!entry.name.empty() && entry.state != PeerState::Gone)
        withdraw(entry, [] {});
}

// Announces to peers that the agent of this entry is gone, and removes the entry from the store.
const PeerEntry& PacketAgent::withdraw(PeerEntry entry, std::function<void()> done)
{
    entry.state = PeerState::Gone;
    m_announcement.withdraw(entry.name, std::move(done));
    return m_state.network.announce(std::move(entry));
}

void PacketAgent::handleOutages(const std::vector<std::string>& returned)
{
    if (std::ranges::find(returned, m_state.role.settings.dataCentre) != returned.end())
        assumeCold(m_state.flowAdmission, m_state.network.routes(), m_state.role.clock.now());
}

void PacketAgent::announceState()
{
    // An agent that has announced that it is gone only waits for the store. Another announcement with a newer epoch would
    // replace the state Gone at its peers.
    if (!m_state.flowAdmission.upstream || m_state.self.state == PeerState::Gone)
        return;
    const PeerState state = isServingNow() ? PeerState::Ready : PeerState::Draining;
    PeerEntry next {
        .name = m_state.role.settings.name,
        .role = PeerRole::Agent,
        .address = m_state.role.settings.listen.address().to_v4().to_uint(),
        .dataCentre = m_state.role.settings.dataCentre,
        .service = m_state.flowAdmission.upstream->service,
        .state = state,
        .slots = m_state.flowAdmission.upstream->slots,
        .epoch = m_state.self.epoch,
    };
    if (next == m_state.self)
        return;
    const bool isNewInStore = m_state.self.name.empty() || m_state.self.service != next.service;
    m_state.self = m_state.network.announce(next);
    if (isNewInStore && state == PeerState::Ready)
        m_announcement.write(m_state.self);
}

void PacketAgent::tick()
{
    const Millis now = m_state.role.clock.now();
    m_state.network.mayBeStale();
    recordCheck(m_state.flowAdmission.evidence, now);
    expireWork(m_state.flows, now);
    sweepIdleFlows(now);
    m_neighbours.expire(now);
    m_reportHandler.checkReplacement(now);
    checkUpstreamPresence(now);
    m_connection.tick(now);
    checkUnansweredRequests(now);
    announceState();
    m_admission.admitWaiting();
    // Openings that were admitted from the queue are not followed by a call of handleFlowMessage().
    m_endWatch.startIfNeeded();
    discardOldOpenings(m_state.unansweredOpenings, now);
    sendLoad(now);
    followStoreIfIsolated(now);
    m_tickTimer.start(tickInterval, [this] { tick(); });
}

void PacketAgent::sweepIdleFlows(Millis now)
{
    updateIdleLimits(m_state.flows, m_state.network.idleLimits(), m_state.startedAt);
    const std::size_t excess = sweepFlows(m_state.flows, now);
    if (excess > 0)
        logEvent(Event::IdleFlowsDropped, { { "flows", excess }, { "kept", m_state.flows.flows.size() }, { "idleLimit", static_cast<std::uint64_t>(m_state.network.routes().idleLimit) } });
}

void PacketAgent::sendLoad(Millis now)
{
    const AgentLoad current = currentLoad(m_state);
    m_state.smoothedLoad += (static_cast<float>(current.atWork) / static_cast<float>(std::max(current.slots, 1U)) - m_state.smoothedLoad) * loadSmoothing;
    const bool hasWaitingOpenings = m_state.waiting > 0;
    if (std::abs(m_lastSentLoad - m_state.smoothedLoad) < minLoadChange || now - m_loadSentAt < (hasWaitingOpenings ? queueingLoadInterval : loadInterval))
        return;
    m_lastSentLoad = m_state.smoothedLoad;
    m_loadSentAt = now;
    std::erase_if(m_activeBalancers, [now](const auto& item) { return now - item.second > balancerIdleLimit; });
    for (const auto& [balancer, receivedAt] : m_activeBalancers)
        sendReply(m_state, balancer, { .kind = wire::PeerKind::Load });
}

// As long as any peer reaches the store, its changes arrive by gossip. An agent follows the store itself only when it
// receives no gossip, so that the load of the store does not grow with the number of agents.
void PacketAgent::followStoreIfIsolated(Millis now)
{
    const bool hasView = m_state.network.routes().version != 0 && m_state.network.outages().revision != 0;
    const bool hasGossip = m_state.network.lastGossipAt() != 0;
    const bool isIsolated = now - std::max(m_state.network.lastGossipAt(), m_state.startedAt) > (hasGossip ? gossipTimeout : startGossipTimeout);
    if (isIsolated && !m_store)
        m_store = std::make_unique<StoreFollower>(m_state.role.context, m_state.role.platform, m_state.adapter, m_state.network);
    else if (!isIsolated && hasView && m_store)
        m_store.reset();
}

void PacketAgent::shutDown(std::function<void()> done)
{
    const Millis now = m_state.role.clock.now();
    if (!m_state.flowAdmission.isLeaving) {
        m_state.flowAdmission.isLeaving = true;
        m_shutdownStartedAt = now;
        if (!isServing(m_state.flowAdmission, now)) {
            beginFinalCheck(m_untrackedFlows);
            m_loss.verifyFlows();
        }
        announceState();
    }
    const Millis shutdownDuration = now - m_shutdownStartedAt;
    // An agent that stopped before it knows that its upstream is gone would leave its entry in the directory, and every search
    // would wait for it.
    const bool isCheckingUpstream = mayBeFoundGone(m_untrackedFlows) && shutdownDuration < upstreamCheckTime;
    if (isCheckingUpstream || (shutdownDuration < flowDrainTime && m_state.flows.open > 0)) {
        m_shutdownTimer.start(tickInterval, [this, done = std::move(done)] { shutDown(done); });
        return;
    }
    const PeerEntry entry = lastEntry();
    if (!isUpstreamGone() || entry.name.empty()) {
        done();
        return;
    }
    m_shutdownTimer.start(std::max<Millis>(m_state.role.settings.packets.leave - shutdownMargin - flowDrainTime, 0), [done] { done(); });
    m_state.self = withdraw(entry, done);
}

// The entry is removed from the directory and the store only when the upstream is gone: searches for the flows of one that runs
// have to ask the next process of this agent. An upstream that drains or is silent may still serve its flows.
bool PacketAgent::isUpstreamGone() const
{
    return m_untrackedFlows.isGone && (m_untrackedFlows.isGoneForCertain || m_state.flows.open == 0);
}

// Whether the upstream was draining when this agent, or before its first report an earlier process of it, last knew of it.
bool PacketAgent::wasDraining() const
{
    return m_state.flowAdmission.upstream ? m_state.flowAdmission.upstream->isDraining : lastEntry().state == PeerState::Draining;
}

// The entry under this agent's name: its own announcement, or that of an earlier process whose upstream did not come back.
PeerEntry PacketAgent::lastEntry() const
{
    if (!m_state.self.name.empty())
        return m_state.self;
    const auto& entries = m_state.network.directory().entries;
    const auto known = entries.find(m_state.role.settings.name);
    return known != entries.end() ? known->second : PeerEntry {};
}

std::string PacketAgent::statusFields() const
{
    const nlohmann::json status {
        { "upstream", m_state.flowAdmission.upstream ? m_state.flowAdmission.upstream->id : "" },
        { "service", m_state.flowAdmission.upstream ? m_state.flowAdmission.upstream->service : "" },
        { "serving", isServingNow() },
        { "openFlows", m_state.flows.open },
        { "atWork", m_state.flows.atWork },
        { "routesVersion", m_state.network.routes().version },
        { "out", m_state.network.outages().out },
    };
    // Names from other programs may hold bytes that are no UTF-8.
    const std::string text = status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return text.substr(1, text.size() - 2);
}

void PacketAgent::exposeMetrics(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_agent_packets_total", "Packets by what was done with them.", m_state.packetOutcomes);
    exposeCounters(out, "kingcuptrail_openings_refused_total", "Openings that were not admitted, by reason.", m_state.refusals);
    m_reportHandler.exposeMetrics(out);
    m_admission.exposeMetrics(out);
    m_pendingReporter.exposeMetrics(out);
    m_state.answerTimes.expose(out, "kingcuptrail_answer_milliseconds", "Time from an opening's delivery, or a request's first packet on an open flow, to the answer's first data, in milliseconds.");
    m_endWatch.exposeMetrics(out);
    m_connection.exposeMetrics(out);
    m_loss.exposeMetrics(out);
    exposeGauge(out, "kingcuptrail_open_flows", "Flows that the upstream holds.", m_state.flows.open);
    exposeGauge(out, "kingcuptrail_requests_at_work", "Requests that the upstream has not answered yet.", m_state.flows.atWork);
    exposeCounter(out, "kingcuptrail_store_calls_total", "Calls of the store.", m_announcement.callsMade() + (m_store ? m_store->callsMade() : 0));
    m_state.network.exposeMetrics(out);
}

}
