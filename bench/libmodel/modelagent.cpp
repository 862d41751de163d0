#include "modelagent.h"

#include "libdecision/lease.h"

#include <algorithm>
#include <utility>

namespace kingcuptrail {

namespace {

    constexpr Micros redirectBatchInterval = 50 * microsPerMilli;
    constexpr Micros announceRetryInterval = 1000 * microsPerMilli;
    constexpr std::uint32_t maxFinalSends = 10;
    /// A flow without packets for this number of its packet intervals is removed.
    constexpr Millis maxSilentIntervals = 4;

}

ModelAgent::ModelAgent(ModelContext& context, ModelStore& store, ModelUpstream& upstream, std::size_t index)
    : m_context(context)
    , m_store(store)
    , m_upstream(upstream)
    , m_index(index)
    , m_service(serviceOf(index, context.experiment.deployment))
{
}

const ServiceSpec& ModelAgent::service() const
{
    return m_context.experiment.deployment.services[m_service];
}

AdmissionOptions ModelAgent::admissionOptions() const
{
    AdmissionOptions options = m_context.policy.admission;
    options.slots = service().slots;
    options.queueLimit = service().queueLimit;
    options.warmUp = service().warmUp;
    return options;
}

void ModelAgent::reset()
{
    ++m_generation;
    m_token = {};
    m_returnVersion = 0;
    m_config = {};
    m_admission = {};
    m_ledger = {};
    m_redirects = {};
    m_closedFlows = {};
    m_pauseDetector = {};
    m_flows.clear();
    m_work.clear();
    m_redirectsToSend.clear();
    m_balancers.clear();
    m_wakeAt.reset();
    m_isDraining = false;
    m_mayExit = false;
    m_wasOut = false;
}

void ModelAgent::start()
{
    reset();
    run();
    announce();
}

void ModelAgent::startSteady(const OwnerToken& token)
{
    reset();
    m_token = token;
    m_admission.limit.limit = service().slots;
    m_admission.limit.cold = false;
    run();
}

void ModelAgent::run()
{
    m_context.network.setAlive(self(), true);
    m_context.network.attach(self(), [this](Endpoint from, Message message) { receive(from, std::move(message)); });
    m_context.history.record([&] { return makeEvent(HistoryKind::ProcessStarted); });
    schedule(static_cast<Micros>(m_context.random.uniform() * static_cast<double>(toMicros(m_context.experiment.deployment.heartbeat))), [this] { tick(); });
    schedule(redirectBatchInterval, [this] { sendRedirects(); });
    schedule(toMicros(m_context.experiment.deployment.lease / 3), [this] { renew(); });
}

void ModelAgent::announce()
{
    m_store.announce(m_index, [this, generation = m_generation](Incarnation incarnation) {
        if (generation == m_generation && !m_token.isSet())
            m_token = { .upstream = targetId(m_index), .incarnation = incarnation };
    });
    schedule(announceRetryInterval, [this] {
        if (!m_token.isSet())
            announce();
    });
}

void ModelAgent::kill()
{
    m_context.network.setAlive(self(), false);
    reset();
}

/// Schedules an action of this process. The action is skipped if the process has terminated, and delayed while it is frozen.
void ModelAgent::schedule(Micros delay, EventLoop::Action action)
{
    m_context.loop.after(delay, [this, generation = m_generation, action = std::move(action)] {
        if (generation != m_generation)
            return;
        if (m_context.network.isFrozen(self()))
            return schedule(redirectBatchInterval, action);
        detectPause();
        action();
    });
}

void ModelAgent::handleLinkLoss(std::size_t balancer)
{
    m_balancers.erase(balancer);
}

bool ModelAgent::isDataCentreOut() const
{
    const std::size_t dataCentre = dataCentreOf(m_index, m_context.experiment.deployment);
    return dataCentre < m_config.dataCentreOut.size() && m_config.dataCentreOut[dataCentre];
}

/// Ends the wait for the balancers' configuration after a return to service. A balancer that links afterwards doesn't
/// restart the wait.
void ModelAgent::updateReturnWait()
{
    std::vector<ConfigVersion> versions;
    for (const auto& [balancer, link] : m_balancers)
        versions.push_back(link.configVersion);
    if (m_returnVersion != 0 && mayAcceptFlowsAfterReturn(m_returnVersion, versions, m_context.policy.configOrder))
        m_returnVersion = 0;
}

/// After a pause of the process its knowledge of the upstream is outdated, so the warm-up starts again.
void ModelAgent::detectPause()
{
    const Millis previousDropUntil = m_pauseDetector.dropUntil;
    recordRun(m_pauseDetector, m_context.policy.pause, m_context.loop.nowMillis());
    if (m_pauseDetector.dropUntil != previousDropUntil)
        restartWarmUp(m_admission, m_context.loop.nowMillis());
}

void ModelAgent::receive(Endpoint from, Message message)
{
    const Millis now = m_context.loop.nowMillis();
    detectPause();
    const auto* heartbeat = std::get_if<HeartbeatMessage>(&message);
    // Messages of a link that this agent has closed are lost.
    if (!m_balancers.contains(from.index) && !(heartbeat && heartbeat->isHello))
        return;
    LinkState& link = m_balancers[from.index];
    link.lastReceivedAt = now;
    if (auto* packet = std::get_if<FlowPacket>(&message)) {
        if (!isDroppingPackets(m_pauseDetector, now))
            receivePacket(from.index, std::move(*packet));
    } else if (const auto* config = std::get_if<ConfigMessage>(&message)) {
        link.configVersion = std::max(link.configVersion, config->version);
        applyConfig(*config);
    } else if (const auto* redirects = std::get_if<RedirectMessage>(&message)) {
        for (const auto& [flow, owner] : redirects->entries)
            recordRedirect(m_redirects, m_context.policy.redirects, flow, owner, now);
        m_context.metrics.redirectsNoted += redirects->entries.size();
    } else if (const auto* query = std::get_if<LedgerQueryMessage>(&message)) {
        answerLedgerQuery(*query);
    } else if (const auto* answer = std::get_if<LedgerAnswerMessage>(&message)) {
        handleLedgerAnswer(*answer);
    } else if (heartbeat) {
        link.configVersion = heartbeat->configVersion;
        if (nextConfigStep(m_config.version, heartbeat->configVersion) == ConfigStep::Offer)
            sendToBalancer(from.index, m_config);
    }
}

PacketFacts ModelAgent::factsOf(const FlowPacket& packet) const
{
    const auto flow = m_flows.find(packet.flow);
    const bool holds = flow != m_flows.end();
    return {
        .isOpen = packet.kind == ModelPacketKind::Open,
        .hasToken = packet.owner.isSet(),
        .tokenIsOwn = m_token.isSet() && packet.owner == m_token,
        .tokenIsPredecessor = m_token.isSet() && packet.owner.upstream == m_token.upstream && packet.owner.incarnation < m_token.incarnation,
        .holdsFlow = holds,
        .closeReason = findCloseReason(m_closedFlows, packet.flow),
        .redirectFound = findRedirect(m_redirects, m_context.policy.redirects, packet.flow, m_context.loop.nowMillis()).has_value(),
        .serviceMatches = holds ? flow->second.service == packet.service : packet.service == m_service,
        .hops = packet.hops,
        .draining = m_isDraining && m_context.policy.drainGuard,
        .dataCentreOut = (isDataCentreOut() || m_returnVersion != 0) && m_context.policy.dataCentreGuard,
    };
}

void ModelAgent::receivePacket(std::size_t balancer, FlowPacket packet)
{
    if (!m_context.metrics.isWarmingUp)
        ++m_context.metrics.packets;
    updateReturnWait();
    const PacketVerdict verdict = decidePacket(factsOf(packet), m_context.policy.forwarding);
    const bool isAccepted = verdict.action == PacketAction::Deliver || verdict.action == PacketAction::Open;
    m_context.history.record([&] {
        HistoryEvent event = makeEvent(HistoryKind::UpstreamPacket);
        event.service = m_context.experiment.deployment.services[isAccepted ? packet.service : m_service].name;
        return event;
    });
    switch (verdict.action) {
    case PacketAction::Deliver:
        return handleFlowPacket(packet);
    case PacketAction::Open:
        return openFlow(packet);
    case PacketAction::ForwardToOwner:
        if (!packet.owner.isSet()) {
            ++m_context.metrics.redirectsUsed;
            packet.owner = *findRedirect(m_redirects, m_context.policy.redirects, packet.flow, m_context.loop.nowMillis());
        }
        return forward(balancer, std::move(packet));
    case PacketAction::NextInRanking:
        packet.visited.push_back(targetId(m_index));
        return forward(balancer, std::move(packet));
    case PacketAction::ReplyReset:
        return reply(packet, ModelPacketKind::Reset, verdict.reason);
    case PacketAction::Drop:
        return;
    }
}

void ModelAgent::forward(std::size_t balancer, FlowPacket packet)
{
    if (!m_context.policy.ownerTokens)
        return reply(packet, ModelPacketKind::Reset, RefusalReason::FlowUnknown);
    ++packet.hops;
    if (!m_context.metrics.isWarmingUp)
        ++m_context.metrics.hops;
    sendToBalancer(balancer, std::move(packet));
}

void ModelAgent::openFlow(const FlowPacket& packet)
{
    // Without an incarnation the agent can't own flows yet; the caller retransmits its opening packet.
    if (!m_token.isSet())
        return;
    const Millis now = m_context.loop.nowMillis();
    m_flows[packet.flow] = { .service = packet.service, .caller = packet.caller, .lastReceivedAt = now, .idleSince = now, .hasFeed = packet.hasFeed };
    if (m_context.policy.redirects.announce && packet.firstRanked != 0 && packet.firstRanked != m_token.upstream) {
        RedirectMessage& batch = m_redirectsToSend[packet.firstRanked];
        batch.target = packet.firstRanked;
        batch.entries.emplace_back(packet.flow, m_token);
    }
    reply(packet, ModelPacketKind::Opened);
}

void ModelAgent::handleFlowPacket(const FlowPacket& packet)
{
    m_flows[packet.flow].lastReceivedAt = m_context.loop.nowMillis();
    switch (packet.kind) {
    case ModelPacketKind::Open:
        return reply(packet, ModelPacketKind::Opened);
    case ModelPacketKind::Data:
        return reply(packet, ModelPacketKind::DataAck);
    case ModelPacketKind::Request:
        return handleRequest(packet);
    case ModelPacketKind::FinalAck:
        if (const auto work = m_work.find(packet.request.id); work != m_work.end() && work->second.state == WorkState::Ended)
            work->second.sends = maxFinalSends;
        return;
    case ModelPacketKind::Cancel:
        return cancel(packet.request.id);
    case ModelPacketKind::Close:
        return closeFlow(packet.flow, RefusalReason::FlowUnknown);
    default:
        return;
    }
}

void ModelAgent::closeFlow(FlowId flow, RefusalReason reason)
{
    std::vector<RequestId> pending;
    for (const auto& [id, work] : m_work) {
        if (work.flow == flow)
            pending.push_back(id);
    }
    for (const RequestId id : pending)
        cancel(id);
    if (m_flows.erase(flow) == 0)
        return;
    m_drain.lastClosedAt = m_context.loop.nowMillis();
    recordClosedFlow(m_closedFlows, m_context.policy.closedFlows, flow, reason, m_context.loop.nowMillis());
}

void ModelAgent::resetFlow(FlowId flow, RefusalReason reason)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return;
    const FlowPacket packet { .service = found->second.service, .flow = flow, .caller = found->second.caller, .owner = m_token };
    closeFlow(flow, reason);
    reply(packet, ModelPacketKind::Reset, reason);
}

void ModelAgent::reply(const FlowPacket& packet, ModelPacketKind kind, RefusalReason reason)
{
    FlowPacket answer {
        .kind = kind,
        .service = packet.service,
        .flow = packet.flow,
        .caller = packet.caller,
        .owner = kind == ModelPacketKind::Reset ? packet.owner : m_token,
        .request = packet.request,
    };
    answer.verdict.reason = reason;
    sendToCaller(std::move(answer));
}

void ModelAgent::sendToCaller(FlowPacket packet)
{
    if (const auto balancer = chooseBalancer())
        m_context.network.send(self(), { EndpointKind::Balancer, *balancer }, std::move(packet));
}

std::optional<std::size_t> ModelAgent::chooseBalancer()
{
    if (m_balancers.empty())
        return std::nullopt;
    auto chosen = m_balancers.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(m_context.random.below(m_balancers.size())));
    return chosen->first;
}

void ModelAgent::sendToBalancer(std::size_t balancer, Message message)
{
    if (!std::holds_alternative<FlowPacket>(message) && !m_context.metrics.isWarmingUp)
        m_context.metrics.controlBytes += encodedBytes(message);
    m_context.network.send(self(), { EndpointKind::Balancer, balancer }, std::move(message));
}

void ModelAgent::applyConfig(const ConfigMessage& config)
{
    if (!supersedes(m_config.version, config.version, m_context.policy.configOrder))
        return;
    m_config = config;
    m_context.history.record([&] {
        HistoryEvent event = makeEvent(HistoryKind::ConfigInForce);
        event.version = config.version;
        return event;
    });
    if (!m_context.policy.dataCentreGuard)
        return;
    const bool isBack = m_wasOut && !isDataCentreOut();
    m_wasOut = isDataCentreOut();
    if (m_wasOut)
        m_returnVersion = 0;
    if (m_wasOut)
        leaveDataCentre();
    if (!isBack)
        return;
    restartWarmUp(m_admission, m_context.loop.nowMillis());
    m_returnVersion = config.version;
}

void ModelAgent::leaveDataCentre()
{
    for (const RefusedItem& expired : refuseQueue(m_admission, RefusalReason::DataCentreOut, m_context.loop.nowMillis()))
        refuse(m_work.at(expired.item.id), expired.refusal, LedgerState::NotRun);
    while (!m_flows.empty())
        resetFlow(m_flows.begin()->first, RefusalReason::DataCentreOut);
}

void ModelAgent::drain(bool mayExit)
{
    m_mayExit = m_mayExit || mayExit;
    if (std::exchange(m_isDraining, true))
        return;
    const Millis now = m_context.loop.nowMillis();
    m_drain = { .startedAt = now, .announced = true, .announcedAt = now };
    m_store.setDraining(m_index, true);
}

void ModelAgent::revokeDrain()
{
    m_isDraining = false;
    m_mayExit = false;
    m_store.setDraining(m_index, false);
}

/// Refuses requests that arrived after draining began and still wait. They haven't reached the upstream, so they are
/// refused as not run.
void ModelAgent::refuseWaiting()
{
    for (auto& [id, work] : m_work) {
        const bool waits = work.state == WorkState::Queued || work.state == WorkState::Asking;
        if (!waits || work.arrivedAt < m_drain.startedAt)
            continue;
        cancelQueued(m_admission, id);
        refuse(work, { .ran = Ran::No, .reason = RefusalReason::UpstreamDraining }, LedgerState::NotRun);
    }
}

void ModelAgent::advanceDrain()
{
    if (!m_isDraining)
        return;
    // Repeated on each tick, since an earlier write may have failed during an outage of the store.
    m_store.setDraining(m_index, true);
    if (m_context.policy.drainGuard && refusesNewWork(m_drain, m_context.policy.drain, m_context.loop.nowMillis()))
        refuseWaiting();
    std::vector<DrainFlow> flows;
    std::vector<FlowId> idle;
    for (const auto& [id, flow] : m_flows) {
        const DrainFlow leaving { .idleSince = flow.idleSince, .pending = pendingOf(id) + (flow.hasFeed ? 1 : 0) };
        if (drainFlow(leaving, m_drain, m_context.policy.drain, m_context.loop.nowMillis()) == DrainFlowStep::CloseIdle)
            idle.push_back(id);
        else
            flows.push_back(leaving);
    }
    for (const FlowId flow : idle)
        resetFlow(flow, RefusalReason::UpstreamDraining);
    const bool mayStop = nextDrainStep(flows, m_drain, m_context.policy.drain, m_context.loop.nowMillis()) == DrainStep::Done;
    if (!m_mayExit || (!mayStop && m_context.policy.drainWaitGuard))
        return;
    m_store.withdraw(m_index);
    kill();
    if (onExit)
        onExit();
}

void ModelAgent::tick()
{
    const Millis now = m_context.loop.nowMillis();
    const DeploymentSpec& deployment = m_context.experiment.deployment;
    closeSilentLinks();
    // The health endpoint refuses connections, so the process that answers there next is a new process, which starts cold.
    if (!m_upstream.isAlive())
        restartWarmUp(m_admission, now);
    for (const auto& [balancer, link] : m_balancers) {
        const HeartbeatMessage heartbeat {
            .agent = m_token,
            .configVersion = m_config.version,
            .openFlows = static_cast<double>(m_flows.size()),
            .draining = m_isDraining,
        };
        sendToBalancer(balancer, heartbeat);
    }
    expire();
    schedule(toMicros(deployment.heartbeat), [this] { tick(); });
    advanceDrain();
}

void ModelAgent::closeSilentLinks()
{
    const Millis now = m_context.loop.nowMillis();
    std::vector<std::size_t> silent;
    for (const auto& [balancer, link] : m_balancers) {
        if (now - link.lastReceivedAt > m_context.experiment.deployment.linkSilence)
            silent.push_back(balancer);
    }
    for (const std::size_t balancer : silent) {
        m_balancers.erase(balancer);
        if (onLinkClosed)
            onLinkClosed(balancer);
    }
}

void ModelAgent::expire()
{
    const Millis now = m_context.loop.nowMillis();
    std::vector<FlowId> silent;
    for (const auto& [id, flow] : m_flows) {
        if (now - flow.lastReceivedAt > maxSilentIntervals * loadOf(m_service, m_context.experiment).flowInterval)
            silent.push_back(id);
    }
    for (const FlowId flow : silent)
        closeFlow(flow, RefusalReason::FlowSilent);
    expireLedger(m_ledger, m_context.policy.ledger, now);
    expireRedirects(m_redirects, m_context.policy.redirects, now);
    expireClosedFlows(m_closedFlows, m_context.policy.closedFlows, now);
}

void ModelAgent::recordIdle(FlowId flow)
{
    if (const auto found = m_flows.find(flow); found != m_flows.end())
        found->second.idleSince = m_context.loop.nowMillis();
}

std::uint32_t ModelAgent::pendingOf(FlowId flow) const
{
    std::uint32_t pending = 0;
    for (const auto& [id, work] : m_work)
        pending += work.flow == flow && work.state != WorkState::Ended ? 1 : 0;
    return pending;
}

HistoryEvent ModelAgent::makeEvent(HistoryKind kind) const
{
    const DeploymentSpec& deployment = m_context.experiment.deployment;
    return {
        .kind = kind,
        .process = agentName(m_index, deployment),
        .role = ProcessRole::Agent,
        .service = service().name,
        .upstream = targetName(m_index, deployment),
        .upstreamId = targetId(m_index),
        .dataCentre = deployment.dataCentres[dataCentreOf(m_index, deployment)],
    };
}

void ModelAgent::renew()
{
    if (m_token.isSet())
        m_store.renew(m_index, m_token);
    schedule(toMicros(m_context.experiment.deployment.lease / 3), [this] { renew(); });
}

void ModelAgent::sendRedirects()
{
    for (auto& [target, batch] : std::exchange(m_redirectsToSend, {})) {
        if (const auto balancer = chooseBalancer())
            sendToBalancer(*balancer, std::move(batch));
    }
    schedule(redirectBatchInterval, [this] { sendRedirects(); });
}

}
