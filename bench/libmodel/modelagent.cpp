#include "modelagent.h"

#include "libdecision/lease.h"

#include <algorithm>
#include <utility>

namespace kingcuptrail {

namespace {

    constexpr Micros redirectBatchInterval = 50 * microsPerMilli;
    constexpr Micros announceRetry = 1000 * microsPerMilli;
    constexpr std::uint32_t finalSends = 10;
    /// A flow without packets for this number of its packet intervals is removed.
    constexpr Millis silentIntervals = 4;

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
    ++m_life;
    m_token = {};
    m_returnVersion = 0;
    m_config = {};
    m_admission = {};
    m_ledger = {};
    m_redirects = {};
    m_closedFlows = {};
    m_pause = {};
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

void ModelAgent::startSettled(const OwnerToken& token)
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
    m_context.history.record([&] { return eventOf(HistoryKind::ProcessStarted); });
    later(static_cast<Micros>(m_context.random.uniform() * static_cast<double>(toMicros(m_context.experiment.deployment.heartbeat))), [this] { tick(); });
    later(redirectBatchInterval, [this] { sendRedirects(); });
    later(toMicros(m_context.experiment.deployment.lease / 3), [this] { renew(); });
}

void ModelAgent::announce()
{
    m_store.announce(m_index, [this, life = m_life](Incarnation incarnation) {
        if (life == m_life && !m_token.isSet())
            m_token = { .upstream = targetId(m_index), .incarnation = incarnation };
    });
    later(announceRetry, [this] {
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
void ModelAgent::later(Micros delay, EventLoop::Action action)
{
    m_context.loop.after(delay, [this, life = m_life, action = std::move(action)] {
        if (life != m_life)
            return;
        if (m_context.network.isFrozen(self()))
            return later(redirectBatchInterval, action);
        noteRuns();
        action();
    });
}

void ModelAgent::loseLink(std::size_t balancer)
{
    m_balancers.erase(balancer);
}

bool ModelAgent::isOut() const
{
    const std::size_t dataCentre = dataCentreOf(m_index, m_context.experiment.deployment);
    return dataCentre < m_config.dataCentreOut.size() && m_config.dataCentreOut[dataCentre];
}

/// Ends the wait for the balancers' configuration after a return to service. A balancer that links afterwards doesn't
/// restart the wait.
void ModelAgent::lookForReturn()
{
    std::vector<ConfigVersion> versions;
    for (const auto& [balancer, link] : m_balancers)
        versions.push_back(link.configVersion);
    if (m_returnVersion != 0 && mayAcceptFlowsAfterReturn(m_returnVersion, versions, m_context.policy.configOrder))
        m_returnVersion = 0;
}

/// After a pause of the process its knowledge of the upstream is outdated, so the warm-up starts again.
void ModelAgent::noteRuns()
{
    const Millis held = m_pause.dropUntil;
    recordRun(m_pause, m_context.policy.pause, m_context.loop.nowMillis());
    if (m_pause.dropUntil != held)
        restartWarmUp(m_admission, m_context.loop.nowMillis());
}

void ModelAgent::receive(Endpoint from, Message message)
{
    const Millis now = m_context.loop.nowMillis();
    noteRuns();
    const auto* heartbeat = std::get_if<HeartbeatMessage>(&message);
    // Messages of a link that this agent has closed are lost.
    if (!m_balancers.contains(from.index) && !(heartbeat && heartbeat->isHello))
        return;
    LinkState& link = m_balancers[from.index];
    link.heardAt = now;
    if (auto* packet = std::get_if<FlowPacket>(&message)) {
        if (!isDroppingPackets(m_pause, now))
            receivePacket(from.index, std::move(*packet));
    } else if (const auto* config = std::get_if<ConfigMessage>(&message)) {
        link.configVersion = std::max(link.configVersion, config->version);
        takeConfig(*config);
    } else if (const auto* redirects = std::get_if<RedirectMessage>(&message)) {
        for (const auto& [flow, owner] : redirects->entries)
            recordRedirect(m_redirects, m_context.policy.redirects, flow, owner, now);
        m_context.metrics.redirectsNoted += redirects->entries.size();
    } else if (const auto* query = std::get_if<LedgerQueryMessage>(&message)) {
        answerQuery(*query);
    } else if (const auto* answer = std::get_if<LedgerAnswerMessage>(&message)) {
        takeLedgerAnswer(*answer);
    } else if (heartbeat) {
        link.configVersion = heartbeat->configVersion;
        if (nextConfigStep(m_config.version, heartbeat->configVersion) == ConfigStep::Offer)
            toBalancer(from.index, m_config);
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
        .dataCentreOut = (isOut() || m_returnVersion != 0) && m_context.policy.dataCentreGuard,
    };
}

void ModelAgent::receivePacket(std::size_t balancer, FlowPacket packet)
{
    if (!m_context.metrics.isWarmingUp)
        ++m_context.metrics.packets;
    lookForReturn();
    const PacketVerdict verdict = decidePacket(factsOf(packet), m_context.policy.forwarding);
    const bool isTaken = verdict.action == PacketAction::Deliver || verdict.action == PacketAction::Open;
    m_context.history.record([&] {
        HistoryEvent event = eventOf(HistoryKind::UpstreamPacket);
        event.service = m_context.experiment.deployment.services[isTaken ? packet.service : m_service].name;
        return event;
    });
    switch (verdict.action) {
    case PacketAction::Deliver:
        return takePacket(packet);
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
    toBalancer(balancer, std::move(packet));
}

void ModelAgent::openFlow(const FlowPacket& packet)
{
    // Without an incarnation the agent can't own flows yet; the caller retransmits its opening packet.
    if (!m_token.isSet())
        return;
    const Millis now = m_context.loop.nowMillis();
    m_flows[packet.flow] = { .service = packet.service, .caller = packet.caller, .heardAt = now, .idleSince = now, .hasFeed = packet.hasFeed };
    if (m_context.policy.redirects.announce && packet.passedOver != 0 && packet.passedOver != m_token.upstream) {
        RedirectMessage& batch = m_redirectsToSend[packet.passedOver];
        batch.target = packet.passedOver;
        batch.entries.emplace_back(packet.flow, m_token);
    }
    reply(packet, ModelPacketKind::Opened);
}

void ModelAgent::takePacket(const FlowPacket& packet)
{
    m_flows[packet.flow].heardAt = m_context.loop.nowMillis();
    switch (packet.kind) {
    case ModelPacketKind::Open:
        return reply(packet, ModelPacketKind::Opened);
    case ModelPacketKind::Data:
        return reply(packet, ModelPacketKind::DataAck);
    case ModelPacketKind::Request:
        return takeRequest(packet);
    case ModelPacketKind::FinalAck:
        if (const auto work = m_work.find(packet.request.id); work != m_work.end() && work->second.state == WorkState::Ended)
            work->second.sends = finalSends;
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
    toCaller(std::move(answer));
}

void ModelAgent::toCaller(FlowPacket packet)
{
    if (const auto balancer = anyBalancer())
        m_context.network.send(self(), { EndpointKind::Balancer, *balancer }, std::move(packet));
}

std::optional<std::size_t> ModelAgent::anyBalancer()
{
    if (m_balancers.empty())
        return std::nullopt;
    auto chosen = m_balancers.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(m_context.random.below(m_balancers.size())));
    return chosen->first;
}

void ModelAgent::toBalancer(std::size_t balancer, Message message)
{
    if (!std::holds_alternative<FlowPacket>(message) && !m_context.metrics.isWarmingUp)
        m_context.metrics.controlBytes += encodedBytes(message);
    m_context.network.send(self(), { EndpointKind::Balancer, balancer }, std::move(message));
}

void ModelAgent::takeConfig(const ConfigMessage& config)
{
    if (!supersedes(m_config.version, config.version, m_context.policy.configOrder))
        return;
    m_config = config;
    m_context.history.record([&] {
        HistoryEvent event = eventOf(HistoryKind::ConfigInForce);
        event.version = config.version;
        return event;
    });
    if (!m_context.policy.dataCentreGuard)
        return;
    const bool isBack = m_wasOut && !isOut();
    m_wasOut = isOut();
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

void ModelAgent::stepDrain()
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
    giveUpSilentLinks();
    // The health endpoint refuses connections, so the next process that answers there is a new one, which starts cold.
    if (!m_upstream.isAlive())
        restartWarmUp(m_admission, now);
    for (const auto& [balancer, link] : m_balancers) {
        const HeartbeatMessage heartbeat {
            .agent = m_token,
            .configVersion = m_config.version,
            .openFlows = static_cast<double>(m_flows.size()),
            .draining = m_isDraining,
        };
        toBalancer(balancer, heartbeat);
    }
    expire();
    later(toMicros(deployment.heartbeat), [this] { tick(); });
    stepDrain();
}

void ModelAgent::giveUpSilentLinks()
{
    const Millis now = m_context.loop.nowMillis();
    std::vector<std::size_t> silent;
    for (const auto& [balancer, link] : m_balancers) {
        if (now - link.heardAt > m_context.experiment.deployment.linkSilence)
            silent.push_back(balancer);
    }
    for (const std::size_t balancer : silent) {
        m_balancers.erase(balancer);
        if (onLinkGivenUp)
            onLinkGivenUp(balancer);
    }
}

void ModelAgent::expire()
{
    const Millis now = m_context.loop.nowMillis();
    std::vector<FlowId> silent;
    for (const auto& [id, flow] : m_flows) {
        if (now - flow.heardAt > silentIntervals * loadOf(m_service, m_context.experiment).flowInterval)
            silent.push_back(id);
    }
    for (const FlowId flow : silent)
        closeFlow(flow, RefusalReason::FlowSilent);
    expireLedger(m_ledger, m_context.policy.ledger, now);
    expireRedirects(m_redirects, m_context.policy.redirects, now);
    expireClosedFlows(m_closedFlows, m_context.policy.closedFlows, now);
}

void ModelAgent::noteIdle(FlowId flow)
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

HistoryEvent ModelAgent::eventOf(HistoryKind kind) const
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
    later(toMicros(m_context.experiment.deployment.lease / 3), [this] { renew(); });
}

void ModelAgent::sendRedirects()
{
    for (auto& [target, batch] : std::exchange(m_redirectsToSend, {})) {
        if (const auto balancer = anyBalancer())
            toBalancer(*balancer, std::move(batch));
    }
    later(redirectBatchInterval, [this] { sendRedirects(); });
}

}
