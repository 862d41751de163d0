#include "connectionadmission.h"

#include "libruntime/events.h"

namespace kingcuptrail {

namespace {

    /// How often the queue is checked, in milliseconds: a fraction of the time after which a caller is assumed to have left.
    constexpr Millis queueCheckInterval = 20;

}

ConnectionAdmission::ConnectionAdmission(AgentState& state)
    : m_state(state)
    , m_queueTimer(state.role.context)
{
}

void ConnectionAdmission::open(const PeerMessage& message, std::uint32_t sender)
{
    DecodeError error = DecodeError::None;
    const auto header = m_state.adapter.decodePacket(message.packet, error);
    if (!header || !isOpening(*header) || flowFromCaller(*header) != message.flow) {
        m_state.packetOutcomes.increment(header ? AgentPacketOutcome::Forged : AgentPacketOutcome::Malformed);
        return;
    }
    const Millis now = m_state.role.clock.now();
    const auto known = m_state.flows.flows.find(message.flow);
    const Offer offer { .service = message.service, .version = message.configVersion, .needsFreeSlot = message.needsFreeSlot };
    const bool isCopy = known != m_state.flows.flows.end() && known->second.phase != FlowPhase::Closed;
    if (isCopy) {
        const OpeningRefusal refusal = decideCopy(m_state.flowAdmission, m_state.network.routes(), requestOf(message.flow, offer), now);
        if (refusal == OpeningRefusal::None)
            admit(message.flow, message.packet, sender, {});
        else
            refuse(message.flow, message.packet, sender, refusal, message.service);
        return;
    }
    if (recordCopy(m_queue, message.flow, now)) {
        sendReply(m_state, sender, { .kind = wire::PeerKind::Admitted, .flow = message.flow });
        return;
    }
    const OpeningRefusal refusal = checkAdmission(message.flow, offer, now);
    m_byNewerVersion += refusal == OpeningRefusal::None && message.configVersion > m_state.network.routes().version ? 1 : 0;
    if (refusal == OpeningRefusal::None)
        admit(message.flow, message.packet, sender, {});
    else if (refusal == OpeningRefusal::Busy && !message.needsFreeSlot)
        enqueueOpening(message, sender, header->acknowledged);
    else
        refuse(message.flow, message.packet, sender, refusal, message.service);
}

OpeningRequest ConnectionAdmission::requestOf(const FlowKey& flow, const Offer& offer) const
{
    return {
        .address = flow.service,
        .service = offer.service,
        .balancerVersion = offer.version,
        .openFlows = m_state.flows.open,
        .atWork = m_state.flows.atWork,
        .needsFreeSlot = offer.needsFreeSlot,
    };
}

OpeningRefusal ConnectionAdmission::checkAdmission(const FlowKey& flow, const Offer& offer, Millis now)
{
    m_state.flowAdmission.mayViewBeStale = m_state.network.mayBeStale();
    const OpeningRefusal refusal = decideOpening(m_state.flowAdmission, m_state.network.routes(), m_state.network.outages(), requestOf(flow, offer), now);
    if (refusal == OpeningRefusal::None && !acceptsOpening(m_state.health, now))
        return OpeningRefusal::UpstreamFailing;
    return refusal;
}

void ConnectionAdmission::admit(const FlowKey& flow, std::span<const std::uint8_t> packet, std::uint32_t balancer, const QueueTimes& times)
{
    const Millis now = m_state.role.clock.now();
    logFlowEvent(Event::FlowAdmitted, flow, { { "upstream", m_state.flowAdmission.upstream->id }, { "service", m_state.flowAdmission.upstream->service }, { "evidenceAge", static_cast<std::uint64_t>(now - m_state.flowAdmission.evidence.runningAt) }, { "atWork", m_state.flows.atWork }, { "open", m_state.flows.open }, { "waited", static_cast<std::uint64_t>(times.waited) }, { "timelyWait", static_cast<std::uint64_t>(times.timelyWait) }, { "reportAge", static_cast<std::uint64_t>(now - m_state.flowAdmission.reportedAt) }, { "version", m_state.network.routes().version }, { "outages", m_state.network.outages().revision } });
    beginFlow(m_state.flows, flow, now, balancer);
    const AgentFlow& admitted = m_state.flows.flows.at(flow);
    // Once the upstream has answered, the caller may have sent its request.
    if (admitted.phase == FlowPhase::Opening && !admitted.answerSequence)
        keepOpening(m_state.unansweredOpenings, { .flow = flow, .deliveredAt = now, .balancer = balancer, .packet = { packet.begin(), packet.end() } });
    recordOpening(m_state.health, now);
    deliverToUpstream(m_state, packet, markOf(m_state, balancer), true);
    m_state.packetOutcomes.increment(AgentPacketOutcome::Delivered);
    m_waitTimes.record(static_cast<double>(times.waited));
    sendReply(m_state, balancer, { .kind = wire::PeerKind::Admitted, .flow = flow });
}

void ConnectionAdmission::enqueueOpening(const PeerMessage& message, std::uint32_t sender, std::uint32_t retransmissions)
{
    const Millis now = m_state.role.clock.now();
    const Millis startedAt = now - minOpeningAge(retransmissions);
    const FlowRoute* route = findRoute(m_state.network.routes(), message.flow.service);
    WaitingOpening opening {
        .flow = message.flow,
        .startedAt = startedAt,
        .arrivedAt = now,
        .timelyUntil = startedAt + (route ? timelyWait(m_state.routeTimes, message.flow.service, route->latencyTarget) : 0),
        .priority = route ? route->priority : 0,
        .balancer = sender,
        .service = std::string(message.service),
        .packet = { message.packet.begin(), message.packet.end() },
    };
    const bool isQueued = enqueue(m_queue, std::move(opening), m_state.flowAdmission.upstream->slots);
    updateWaitingCount();
    if (!isQueued) {
        refuse(message.flow, message.packet, sender, OpeningRefusal::Busy);
        return;
    }
    sendReply(m_state, sender, { .kind = wire::PeerKind::Admitted, .flow = message.flow });
    startQueueTimer();
}

// The queue is checked with each packet of the upstream, since answers make room. The timer covers callers that leave: their
// openings make room without a packet of the upstream.
void ConnectionAdmission::startQueueTimer()
{
    if (m_isQueueTimerOn)
        return;
    m_isQueueTimerOn = true;
    m_queueTimer.start(queueCheckInterval, [this] {
        m_isQueueTimerOn = false;
        admitWaiting();
        if (!m_queue.waiting.empty())
            startQueueTimer();
    });
}

// An opening that may no longer be admitted is refused, and its packet goes back to the balancer.
void ConnectionAdmission::admitWaiting()
{
    if (m_queue.waiting.empty())
        return;
    const Millis now = m_state.role.clock.now();
    expireWork(m_state.flows, now);
    const std::vector<WaitingOpening> overdue = removeExpired(m_queue, now);
    updateWaitingCount();
    for (const WaitingOpening& expired : overdue)
        refuse(expired.flow, expired.packet, expired.balancer, OpeningRefusal::WaitedTooLong);
    while (const WaitingOpening* next = peekNext(m_queue, now)) {
        // An opening that will miss its latency target anyway gets an idle slot only: queued at the upstream, it would delay
        // openings that can still meet theirs.
        const OpeningRefusal refusal = checkAdmission(next->flow, { .service = next->service, .needsFreeSlot = !isTimely(*next, now) }, now);
        if (refusal == OpeningRefusal::Busy)
            return;
        const auto taken = popNext(m_queue, now);
        updateWaitingCount();
        if (refusal == OpeningRefusal::None)
            admit(taken->flow, taken->packet, taken->balancer, { .waited = now - taken->arrivedAt, .timelyWait = taken->timelyUntil - taken->startedAt });
        else
            refuse(taken->flow, taken->packet, taken->balancer, refusal, taken->service);
    }
}

void ConnectionAdmission::refuse(const FlowKey& flow, std::span<const std::uint8_t> packet, std::uint32_t balancer, OpeningRefusal refusal, std::string_view service)
{
    m_state.refusals.increment(refusal);
    m_state.packetOutcomes.increment(AgentPacketOutcome::Refused);
    const Millis now = m_state.role.clock.now();
    logFlowEvent(Event::OpeningRefused, flow, { { "reason", nameOf(refusal) }, { "offered", service }, { "service", m_state.flowAdmission.upstream ? m_state.flowAdmission.upstream->service : "" }, { "atWork", m_state.flows.atWork }, { "open", m_state.flows.open }, { "waiting", m_queue.waiting.size() }, { "reportAge", static_cast<std::uint64_t>(now - m_state.flowAdmission.reportedAt) }, { "version", m_state.network.routes().version }, { "outages", m_state.network.outages().revision } });
    sendReply(m_state, balancer, { .kind = wire::PeerKind::Refused, .flow = flow, .refusal = refusal, .packet = packet });
}

// Balancers drop a refusal of an opening that was already admitted, except for the reason Returned, which lets them offer the
// packet to another agent. Earlier releases know this reason as well.
std::size_t ConnectionAdmission::returnOpenings()
{
    const std::vector<WaitingOpening> waiting = removeAll(m_queue);
    const std::vector<UnansweredOpening> unanswered = takeUnanswered(m_state.unansweredOpenings, m_state.role.clock.now());
    updateWaitingCount();
    for (const WaitingOpening& opening : waiting)
        refuse(opening.flow, opening.packet, opening.balancer, OpeningRefusal::Returned);
    for (const UnansweredOpening& opening : unanswered) {
        forgetFlow(m_state.flows, opening.flow);
        refuse(opening.flow, opening.packet, opening.balancer, OpeningRefusal::Returned);
    }
    return waiting.size() + unanswered.size();
}

void ConnectionAdmission::updateWaitingCount()
{
    m_state.waiting = countTimely(m_queue, m_state.role.clock.now());
}

void ConnectionAdmission::exposeMetrics(std::string& out) const
{
    exposeCounter(out, "kingcuptrail_openings_by_newer_version_total", "Openings admitted for a balancer with a newer configuration than this agent's.", m_byNewerVersion);
    m_waitTimes.expose(out, "kingcuptrail_opening_wait_milliseconds", "How long admitted openings waited here, in milliseconds.");
}

}
