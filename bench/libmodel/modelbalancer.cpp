#include "modelbalancer.h"

#include "libdecision/configorder.h"
#include "libdecision/pacing.h"
#include "libdecision/ranking.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    constexpr Micros redialDelay = 500 * microsPerMilli;

    bool isForCaller(ModelPacketKind kind)
    {
        switch (kind) {
        case ModelPacketKind::Opened:
        case ModelPacketKind::DataAck:
        case ModelPacketKind::RequestAck:
        case ModelPacketKind::Answer:
        case ModelPacketKind::Refusal:
        case ModelPacketKind::Reset:
            return true;
        default:
            return false;
        }
    }

}

ModelBalancer::ModelBalancer(ModelContext& context, ModelStore& store, std::size_t index)
    : m_context(context)
    , m_store(store)
    , m_index(index)
{
    std::size_t first = 0;
    for (const ServiceSpec& service : context.experiment.deployment.services) {
        m_firstOfService.push_back(first);
        first += service.targets;
    }
    m_firstOfService.push_back(first);
}

void ModelBalancer::start()
{
    ++m_generation;
    const std::size_t targets = m_firstOfService.back();
    m_members.assign(targets, Member { .state = MemberState::Lapsed });
    m_peers.assign(targets, {});
    m_config = {};
    m_pauseDetector = {};
    m_placing = m_context.policy.placing;
    m_placing.loadReportInterval = m_context.experiment.deployment.heartbeat;
    rebuildMemberIndex();
    m_context.network.setAlive(self(), true);
    m_context.network.attach(self(), [this](Endpoint from, Message message) { receive(from, std::move(message)); });
    m_context.history.record([&] { return HistoryEvent { .kind = HistoryKind::ProcessStarted, .process = balancerName(m_index), .role = ProcessRole::Balancer }; });
    m_store.watch(
        m_index, [this](const std::vector<TargetRecord>& records) { applyTargets(records); }, [this](const ConfigMessage& config) { applyConfig(config); });
    schedule(static_cast<Micros>(m_context.random.uniform() * static_cast<double>(toMicros(m_context.experiment.deployment.heartbeat))), [this] { tick(); });
}

void ModelBalancer::kill()
{
    ++m_generation;
    m_context.network.setAlive(self(), false);
    m_store.watch(
        m_index, [](const std::vector<TargetRecord>&) {}, [](const ConfigMessage&) {});
    m_context.history.record([&] { return HistoryEvent { .kind = HistoryKind::ProcessKilled, .process = balancerName(m_index), .role = ProcessRole::Balancer }; });
}

/// Schedules an action of this process. The action is skipped if the process has terminated, and delayed while it is frozen.
void ModelBalancer::schedule(Micros delay, EventLoop::Action action)
{
    m_context.loop.after(delay, [this, generation = m_generation, action = std::move(action)] {
        if (generation != m_generation)
            return;
        if (m_context.network.isFrozen(self()))
            schedule(redialDelay, action);
        else
            action();
    });
}

void ModelBalancer::receive(Endpoint from, Message message)
{
    if (from.kind == EndpointKind::Agent)
        m_peers[from.index].lastReceivedAt = m_context.loop.nowMillis();
    recordRun(m_pauseDetector, m_context.policy.pause, m_context.loop.nowMillis());
    auto* packet = std::get_if<FlowPacket>(&message);
    if (packet && isDroppingPackets(m_pauseDetector, m_context.loop.nowMillis()))
        return;
    if (packet)
        receivePacket(from, std::move(*packet));
    else if (const auto* heartbeat = std::get_if<HeartbeatMessage>(&message))
        receiveHeartbeat(*heartbeat, from.index);
    else if (const auto* config = std::get_if<ConfigMessage>(&message))
        applyConfig(*config);
    else if (const auto* redirects = std::get_if<RedirectMessage>(&message)) {
        for (std::size_t agent = 0; agent < m_members.size(); ++agent) {
            if (m_members[agent].token.upstream == redirects->target && m_members[agent].linked)
                sendToAgent(agent, *redirects);
        }
    } else if (const auto* query = std::get_if<LedgerQueryMessage>(&message)) {
        const auto holder = findMember(m_memberIndex, query->holder);
        if (holder.exact && m_members[*holder.exact].linked)
            sendToAgent(*holder.exact, *query);
    } else if (const auto* answer = std::get_if<LedgerAnswerMessage>(&message)) {
        const auto asker = findMember(m_memberIndex, answer->asker);
        if (asker.exact && m_members[*asker.exact].linked)
            sendToAgent(*asker.exact, *answer);
    }
}

void ModelBalancer::receivePacket(const Endpoint& from, FlowPacket packet)
{
    if (from.kind == EndpointKind::Agent && isForCaller(packet.kind))
        m_context.network.send(self(), { EndpointKind::Callers, 0 }, std::move(packet));
    else if (m_context.policy.ownerTokens)
        route(std::move(packet));
    else
        routeModulo(std::move(packet));
}

void ModelBalancer::route(FlowPacket packet)
{
    if (packet.owner.isSet()) {
        const RouteResult result = routeByToken(m_memberIndex, m_members, packet.owner, packet.hops);
        return apply(result, std::move(packet), 0);
    }
    const UnownedPacket unowned {
        .flow = packet.flow,
        .isOpen = packet.kind == ModelPacketKind::Open,
        .hops = packet.hops,
        .visited = packet.visited,
    };
    const RouteResult result = routeUnowned(serviceMembers(packet.service), unowned, m_placing);
    const std::size_t firstMember = m_firstOfService[packet.service];
    apply(result, std::move(packet), firstMember);
}

void ModelBalancer::routeModulo(FlowPacket packet)
{
    std::vector<std::size_t> usable;
    for (std::size_t agent = m_firstOfService[packet.service]; agent < m_firstOfService[packet.service + 1]; ++agent) {
        if (m_members[agent].linked && m_members[agent].state == MemberState::Serving)
            usable.push_back(agent);
    }
    if (usable.empty())
        return resetFlow(packet, RefusalReason::NoUpstream);
    packet.owner = {};
    const std::size_t agent = usable[packet.flow % usable.size()];
    sendToAgent(agent, std::move(packet));
}

void ModelBalancer::apply(const RouteResult& result, FlowPacket packet, std::size_t firstMember)
{
    switch (result.action) {
    case RouteAction::ToMember: {
        const std::size_t agent = firstMember + result.member;
        if (packet.kind == ModelPacketKind::Open && !packet.owner.isSet()) {
            recordFirstRanked(packet, agent);
            ++m_members[agent].load;
        }
        return sendToAgent(agent, std::move(packet));
    }
    case RouteAction::AnyAgent:
        return sendToAnyAgent(std::move(packet));
    case RouteAction::ResetFlow:
        return resetFlow(packet, result.reason);
    case RouteAction::Drop:
        return;
    }
}

/// Records in the packet the member at which other balancers will look for the flow first, if the flow was placed at another
/// member.
void ModelBalancer::recordFirstRanked(FlowPacket& packet, std::size_t chosen) const
{
    const auto members = serviceMembers(packet.service);
    const auto first = nextInRanking(packet.flow, members, {});
    const std::size_t firstAgent = m_firstOfService[packet.service] + first.value_or(0);
    packet.firstRanked = first && firstAgent != chosen ? m_members[firstAgent].token.upstream : 0;
}

void ModelBalancer::sendToAgent(std::size_t agent, Message message)
{
    if (!std::holds_alternative<FlowPacket>(message) && !m_context.metrics.isWarmingUp)
        m_context.metrics.controlBytes += encodedBytes(message);
    m_context.network.send(self(), { EndpointKind::Agent, agent }, std::move(message));
}

void ModelBalancer::sendToAnyAgent(FlowPacket packet)
{
    std::vector<std::size_t> linked;
    for (std::size_t agent = 0; agent < m_members.size(); ++agent) {
        if (m_members[agent].linked && m_members[agent].state != MemberState::Out)
            linked.push_back(agent);
    }
    if (!linked.empty())
        sendToAgent(linked[m_context.random.below(linked.size())], std::move(packet));
}

void ModelBalancer::resetFlow(const FlowPacket& packet, RefusalReason reason)
{
    FlowPacket reset {
        .kind = ModelPacketKind::Reset,
        .service = packet.service,
        .flow = packet.flow,
        .caller = packet.caller,
        .owner = packet.owner,
    };
    reset.verdict.reason = reason;
    m_context.network.send(self(), { EndpointKind::Callers, 0 }, std::move(reset));
}

void ModelBalancer::receiveHeartbeat(const HeartbeatMessage& heartbeat, std::size_t agent)
{
    m_members[agent].load = heartbeat.openFlows;
    // The heartbeat reports a draining agent also while the platform is unavailable.
    if (heartbeat.draining && !m_peers[agent].draining && m_context.policy.drainGuard) {
        m_peers[agent].draining = true;
        updateStates();
    }
    if (nextConfigStep(m_config.version, heartbeat.configVersion) == ConfigStep::Offer)
        sendConfig(agent);
}

void ModelBalancer::sendConfig(std::size_t agent)
{
    if (m_members[agent].linked && m_config.version != 0)
        sendToAgent(agent, m_config);
}

void ModelBalancer::applyTargets(const std::vector<TargetRecord>& targets)
{
    for (std::size_t agent = 0; agent < targets.size(); ++agent) {
        const TargetRecord& record = targets[agent];
        Peer& peer = m_peers[agent];
        if (m_members[agent].token != record.token) {
            m_members[agent].token = record.token;
            m_members[agent].linked = false;
            peer.lease = observeLease(m_context.experiment.deployment.lease, record.renewals, m_context.loop.nowMillis());
        }
        peer.announced = record.announced;
        peer.draining = record.draining;
        if (record.announced && !m_members[agent].linked)
            dial(agent);
    }
    updateStates();
    rebuildMemberIndex();
}

void ModelBalancer::applyConfig(const ConfigMessage& config)
{
    if (!supersedes(m_config.version, config.version, m_context.policy.configOrder))
        return;
    m_config = config;
    m_context.history.record([&] { return HistoryEvent { .kind = HistoryKind::ConfigInForce, .process = balancerName(m_index), .version = config.version }; });
    // Sent before the states change, so that the agents of a data centre that is taken out of service get it first.
    for (std::size_t agent = 0; agent < m_members.size(); ++agent)
        sendConfig(agent);
    updateStates();
}

void ModelBalancer::dial(std::size_t agent)
{
    if (m_peers[agent].isDialing)
        return;
    m_peers[agent].isDialing = true;
    const Endpoint peer { EndpointKind::Agent, agent };
    schedule(2 * m_context.network.delay(self(), peer), [this, agent, peer] {
        m_peers[agent].isDialing = false;
        if (!m_peers[agent].announced || m_members[agent].linked)
            return;
        if (m_context.network.isAlive(peer) && !m_context.network.isFrozen(peer)) {
            // A link failure affects one connection only: the new connection works.
            m_context.network.setSilent(m_index, agent, false);
            setLinked(agent, true);
        } else {
            schedule(redialDelay, [this, agent] { dial(agent); });
        }
    });
}

void ModelBalancer::setLinked(std::size_t agent, bool linked)
{
    m_members[agent].linked = linked;
    m_peers[agent].lastReceivedAt = m_context.loop.nowMillis();
    if (!linked)
        return;
    sendToAgent(agent, HeartbeatMessage { .configVersion = m_config.version, .isHello = true });
    sendConfig(agent);
}

void ModelBalancer::handleLinkLoss(std::size_t agent)
{
    if (!m_context.network.isAlive(self()) || !m_members[agent].linked)
        return;
    setLinked(agent, false);
    schedule(redialDelay, [this, agent] { dial(agent); });
}

MemberState ModelBalancer::stateOf(std::size_t agent) const
{
    const std::size_t dataCentre = dataCentreOf(agent, m_context.experiment.deployment);
    const bool isDataCentreOut = dataCentre < m_config.dataCentreOut.size() && m_config.dataCentreOut[dataCentre];
    if (isDataCentreOut && m_context.policy.dataCentreGuard)
        return MemberState::Out;
    if (!m_peers[agent].announced || isLapsed(m_peers[agent].lease))
        return MemberState::Lapsed;
    return m_peers[agent].draining && m_context.policy.drainGuard ? MemberState::Draining : MemberState::Serving;
}

void ModelBalancer::updateStates()
{
    for (std::size_t agent = 0; agent < m_members.size(); ++agent)
        m_members[agent].state = stateOf(agent);
}

void ModelBalancer::rebuildMemberIndex()
{
    m_memberIndex = buildMemberIndex(m_members);
}

void ModelBalancer::tick()
{
    const DeploymentSpec& deployment = m_context.experiment.deployment;
    const Millis now = m_context.loop.nowMillis();
    recordRun(m_pauseDetector, m_context.policy.pause, now);
    const auto links = static_cast<std::size_t>(std::ranges::count(m_members, true, &Member::linked));
    const PacingOptions pacing { .baseInterval = deployment.heartbeat };
    const Millis interval = heartbeatInterval(links, pacing);
    m_placing.loadReportInterval = std::max(interval, deployment.heartbeat);
    const Millis silence = std::max(deployment.linkSilence, silenceLimit(interval, pacing));
    observeLeases();
    for (std::size_t agent = 0; agent < m_members.size(); ++agent) {
        if (!m_members[agent].linked)
            continue;
        if (now - m_peers[agent].lastReceivedAt > silence)
            handleLinkLoss(agent);
        else
            sendToAgent(agent, HeartbeatMessage { .configVersion = m_config.version });
    }
    updateStates();
    schedule(toMicros(interval), [this] { tick(); });
}

void ModelBalancer::observeLeases()
{
    const Millis now = m_context.loop.nowMillis();
    for (std::size_t agent = 0; agent < m_members.size(); ++agent) {
        addObservedTime(m_peers[agent].lease, { .maxStep = 2 * m_context.experiment.deployment.heartbeat }, m_store.isAvailable(), now);
        if (m_store.isAvailable())
            recordRenewal(m_peers[agent].lease, m_store.targets()[agent].renewals, now);
    }
}

std::span<const Member> ModelBalancer::serviceMembers(std::size_t service) const
{
    return std::span(m_members).subspan(m_firstOfService[service], m_firstOfService[service + 1] - m_firstOfService[service]);
}

}
