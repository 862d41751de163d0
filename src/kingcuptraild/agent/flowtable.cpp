#include "flowtable.h"

#include "kingcuptraild/resetpacket.h"
#include "libplatform/config.h"
#include "libruntime/events.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// Suggested delay before a caller opens its flow again after a reset by a full or draining agent, in milliseconds.
    constexpr Millis reopenAfter = 200;

    OwnerToken tokenOf(const wire::Packet& packet)
    {
        return { packet.owner_upstream(), packet.owner_incarnation() };
    }

}

FlowTable::FlowTable(const Clock& clock, const FlowTableOptions& options, Hooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

void FlowTable::setDataCentreOut(bool isOut)
{
    const bool becameOut = isOut && !m_isDataCentreOut;
    m_isDataCentreOut = isOut;
    if (!becameOut)
        return;
    std::vector<FlowId> ids;
    for (const auto& [id, flow] : m_flows)
        ids.push_back(id);
    for (const FlowId id : ids)
        endFlow(id, FlowEnd::GivenUpDataCentreOut, RefusalReason::DataCentreOut);
    logEvent(Event::FlowsGivenUp, { { "flows", ids.size() } });
}

void FlowTable::addLink(std::shared_ptr<PeerLink> link)
{
    m_links.push_back(std::move(link));
}

void FlowTable::removeLink(const PeerLink& link)
{
    std::erase_if(m_links, [&](const auto& known) { return known.get() == &link; });
}

void FlowTable::handlePacket(const std::shared_ptr<PeerLink>& from, const wire::Packet& packet)
{
    if (m_hooks.mustDropPackets()) {
        m_actions.increment(PacketAction::Drop);
        return;
    }
    Flow* flow = find(packet.flow());
    const PacketVerdict verdict = decidePacket(factsOf(packet, flow));
    m_actions.increment(verdict.action);
    if (verdict.reason == RefusalReason::WrongService) {
        ++m_wrongService;
        if (m_wrongServiceLog.isDue(m_clock.now()))
            logEvent(Event::WrongServicePacket, { { "flow", packet.flow() }, { "address", toString(packet.service()) }, { "leftOut", m_wrongServiceLog.takeOmittedCount() } });
    }
    switch (verdict.action) {
    case PacketAction::Deliver:
        deliver(from, *flow, packet);
        return;
    case PacketAction::Open:
        open(from, packet);
        return;
    case PacketAction::ForwardToOwner:
        forwardToBalancer(from, packet, false);
        return;
    case PacketAction::NextInRanking:
        forwardToBalancer(from, packet, true);
        return;
    case PacketAction::ReplyReset:
        if (isResettable(packet))
            replyReset(packet, verdict.reason, reopenAfter);
        return;
    case PacketAction::Drop:
        return;
    }
}

PacketFacts FlowTable::factsOf(const wire::Packet& packet, const Flow* flow) const
{
    const OwnerToken token = tokenOf(packet);
    return {
        .isOpen = packet.kind() == wire::PacketKind::Open,
        .hasToken = token.isSet(),
        .tokenIsOwn = token == m_token,
        .tokenIsPredecessor = token.upstream == m_token.upstream && token.incarnation < m_token.incarnation,
        .holdsFlow = flow != nullptr,
        .closeReason = findCloseReason(m_closed, packet.flow()),
        .serviceMatches = packet.service() != 0 && packet.service() == (flow ? flow->service : m_service),
        .hops = packet.hops(),
        .draining = m_isDraining,
        .dataCentreOut = m_isDataCentreOut,
    };
}

void FlowTable::open(const std::shared_ptr<PeerLink>& from, const wire::Packet& packet)
{
    if (m_flows.size() >= m_options.flowLimit) {
        replyReset(packet, RefusalReason::TooManyFlows, reopenAfter);
        return;
    }
    const Millis now = m_clock.now();
    Flow& flow = m_flows[packet.flow()];
    flow.id = packet.flow();
    flow.source = packet.source();
    flow.service = packet.service();
    flow.openedAt = now;
    flow.lastPacketAt = now;
    flow.idleSince = now;
    flow.returnLink = from;
    ++m_opened;
    sendOpened(flow);
}

void FlowTable::deliver(const std::shared_ptr<PeerLink>& from, Flow& flow, const wire::Packet& packet)
{
    const Millis now = m_clock.now();
    flow.lastPacketAt = now;
    flow.returnLink = from;
    if (packet.kind() == wire::PacketKind::Open) {
        sendOpened(flow);
        return;
    }
    if (packet.kind() == wire::PacketKind::Close || packet.kind() == wire::PacketKind::Reset) {
        endFlow(flow.id, FlowEnd::ClosedByCaller, RefusalReason::None);
        return;
    }
    flow.isConfirmed = true;
    flow.endpoint.acknowledge(packet.acknowledged(), now);
    flow.ackPending = true;
    const FlowId id = flow.id;
    if (packet.kind() == wire::PacketKind::Segment && packet.payload()) {
        flow.endpoint.receive(packet.sequence(), Bytes(packet.payload()->begin(), packet.payload()->end()));
        deliverMessages(id);
    }
    Flow* still = find(id);
    if (still && still->isSendBlocked && still->endpoint.canSend()) {
        still->isSendBlocked = false;
        m_hooks.onWritable(id);
        still = find(id);
    }
    if (still)
        flush(*still);
}

void FlowTable::deliverMessages(FlowId id)
{
    while (Flow* flow = find(id)) {
        const auto payload = flow->endpoint.dequeuePayload();
        if (!payload)
            return;
        flow->idleSince = m_clock.now();
        const wire::Message* message = decodeMessage(*payload);
        if (!message || !m_hooks.onMessage(id, *message)) {
            endFlow(id, FlowEnd::ProtocolError, RefusalReason::BadRequest);
            return;
        }
    }
}

// Another agent holds the flow, or may hold it, so the packet goes back to a balancer, which knows more agents than this
// one. The balancer that sent the packet is avoided if there is another one, since its member list led to this agent.
void FlowTable::forwardToBalancer(const std::shared_ptr<PeerLink>& from, const wire::Packet& packet, bool markVisited)
{
    std::unique_ptr<wire::PacketT> onward(packet.UnPack());
    onward->bounced = true;
    ++onward->hops;
    if (markVisited)
        onward->visited.push_back(m_token.upstream);
    std::shared_ptr<PeerLink> next = anyLink();
    for (std::size_t tries = 0; tries < m_links.size() && next == from; ++tries)
        next = anyLink();
    if (next)
        next->sendPacket(encodeFrameOf(std::move(*onward)));
}

void FlowTable::replyReset(const wire::Packet& packet, RefusalReason reason, Millis retryAfter)
{
    m_resets.increment(reason);
    sendOverAnyLink(encodeFrameOf(makeReset(packet, reason, retryAfter)));
}

bool FlowTable::send(FlowId id, Bytes message)
{
    Flow* flow = find(id);
    if (!flow)
        return true;
    if (!flow->endpoint.send(std::move(message))) {
        flow->isSendBlocked = true;
        return false;
    }
    flow->idleSince = m_clock.now();
    m_active.insert(id);
    return true;
}

bool FlowTable::sendOverAnyLink(Bytes frame)
{
    const auto link = anyLink();
    return link && link->sendPacket(std::move(frame));
}

void FlowTable::tick()
{
    std::vector<FlowId> active(m_active.begin(), m_active.end());
    for (const FlowId id : active) {
        Flow* flow = find(id);
        if (flow)
            flush(*flow);
        flow = find(id);
        if (!flow || flow->endpoint.unacknowledged() == 0)
            m_active.erase(id);
    }
}

void FlowTable::flush(Flow& flow)
{
    for (const FlowEndpoint::Segment& segment : flow.endpoint.collectOutgoing(m_clock.now())) {
        wire::PacketT packet;
        packet.kind = wire::PacketKind::Segment;
        packet.sequence = segment.sequence;
        packet.payload = *segment.payload;
        sendOnFlow(flow, std::move(packet));
    }
    if (flow.ackPending) {
        wire::PacketT packet;
        packet.kind = wire::PacketKind::Ack;
        sendOnFlow(flow, std::move(packet));
    }
    if (flow.endpoint.unacknowledged() > 0)
        m_active.insert(flow.id);
}

void FlowTable::sendOpened(Flow& flow)
{
    wire::PacketT packet;
    packet.kind = wire::PacketKind::Opened;
    sendOnFlow(flow, std::move(packet));
}

void FlowTable::sendOnFlow(Flow& flow, wire::PacketT packet)
{
    packet.service = flow.service;
    packet.flow = flow.id;
    packet.source = flow.source;
    packet.owner_upstream = m_token.upstream;
    packet.owner_incarnation = m_token.incarnation;
    packet.acknowledged = flow.endpoint.receivedUpTo();
    flow.ackPending = false;
    if (const auto link = linkFor(flow))
        link->sendPacket(encodeFrameOf(std::move(packet)));
}

void FlowTable::endFlow(FlowId id, FlowEnd end, RefusalReason resetReason)
{
    Flow* flow = find(id);
    if (!flow)
        return;
    m_ends.increment(end);
    if (resetReason != RefusalReason::None) {
        m_resets.increment(resetReason);
        wire::PacketT reset;
        reset.kind = wire::PacketKind::Reset;
        reset.reason = static_cast<std::uint8_t>(resetReason);
        sendOnFlow(*flow, std::move(reset));
    }
    m_lastClosedAt = m_clock.now();
    recordClosedFlow(m_closed, m_closedOptions, id, resetReason == RefusalReason::None ? RefusalReason::FlowUnknown : resetReason, m_lastClosedAt);
    m_flows.erase(id);
    m_active.erase(id);
    m_hooks.onEnded(id);
}

void FlowTable::sweep()
{
    const Millis now = m_clock.now();
    std::vector<std::pair<FlowId, FlowEnd>> over;
    for (const auto& [id, flow] : m_flows) {
        if (now - flow.lastPacketAt > m_options.flowSilence)
            over.emplace_back(id, FlowEnd::Silent);
        else if (!flow.isConfirmed && now - flow.openedAt > m_options.unconfirmedLimit)
            over.emplace_back(id, FlowEnd::Unconfirmed);
    }
    for (const auto& [id, end] : over)
        endFlow(id, end, RefusalReason::FlowSilent);
    expireClosedFlows(m_closed, m_closedOptions, now);
}

DrainStep FlowTable::drainStep(DrainProgress& progress, const DrainOptions& options)
{
    const Millis now = m_clock.now();
    std::vector<FlowId> idle;
    std::vector<DrainFlow> left;
    for (const auto& [id, flow] : m_flows) {
        const bool isBusy = m_hooks.hasRequests(id) || flow.endpoint.unacknowledged() > 0;
        const DrainFlow drain { .idleSince = flow.idleSince, .pending = isBusy ? 1U : 0U };
        if (drainFlow(drain, progress, options, now) == DrainFlowStep::CloseIdle)
            idle.push_back(id);
        else
            left.push_back(drain);
    }
    for (const FlowId id : idle)
        endFlow(id, FlowEnd::ClosedDraining, RefusalReason::UpstreamDraining);
    progress.lastClosedAt = m_lastClosedAt;
    return nextDrainStep(left, progress, options, now);
}

void FlowTable::closeAll(RefusalReason reason)
{
    std::vector<FlowId> ids;
    for (const auto& [id, flow] : m_flows)
        ids.push_back(id);
    for (const FlowId id : ids)
        endFlow(id, FlowEnd::ClosedDraining, reason);
}

std::shared_ptr<PeerLink> FlowTable::linkFor(const Flow& flow)
{
    const auto link = flow.returnLink.lock();
    return link && link->isUsable() ? link : anyLink();
}

std::shared_ptr<PeerLink> FlowTable::anyLink()
{
    for (std::size_t tries = 0; tries < m_links.size(); ++tries) {
        const auto& link = m_links[m_nextLink++ % m_links.size()];
        if (link->isUsable())
            return link;
    }
    return nullptr;
}

FlowTable::Flow* FlowTable::find(FlowId id)
{
    const auto found = m_flows.find(id);
    return found == m_flows.end() ? nullptr : &found->second;
}

void FlowTable::exposeMetrics(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_packets_total", "Packets by what was done with them.", m_actions);
    exposeCounters(out, "kingcuptrail_flows_ended_total", "Flows by the way they ended.", m_ends);
    exposeCounters(out, "kingcuptrail_flow_resets_total", "Flows reset by this agent, by reason.", m_resets);
    exposeCounter(out, "kingcuptrail_flows_opened_total", "Flows opened here.", m_opened);
    exposeCounter(out, "kingcuptrail_wrong_service_total", "Packets for another service's address, refused.", m_wrongService);
    exposeGauge(out, "kingcuptrail_flows_open", "Flows held.", static_cast<double>(m_flows.size()));
}

}
