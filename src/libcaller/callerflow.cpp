#include "callerflow.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    constexpr std::size_t packetOverheadBytes = 256;

    struct PacketHeader {
        wire::PacketKind kind = wire::PacketKind::Ack;
        ServiceAddress service = 0;
        FlowId flow = 0;
        std::uint64_t source = 0;
        OwnerToken owner;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0;
    };

    Bytes encodePacket(const PacketHeader& header, const Bytes* payload)
    {
        flatbuffers::FlatBufferBuilder builder(packetOverheadBytes + (payload ? payload->size() : 0));
        flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> bytes;
        if (payload)
            bytes = builder.CreateVector(*payload);
        wire::PacketBuilder packet(builder);
        packet.add_kind(header.kind);
        packet.add_service(header.service);
        packet.add_flow(header.flow);
        packet.add_source(header.source);
        packet.add_owner_upstream(header.owner.upstream);
        packet.add_owner_incarnation(header.owner.incarnation);
        packet.add_sequence(header.sequence);
        packet.add_acknowledged(header.acknowledged);
        if (payload)
            packet.add_payload(bytes);
        const auto body = packet.Finish();
        builder.FinishSizePrefixed(wire::CreateFrame(builder, wire::FrameBody::Packet, body.Union()));
        return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
    }

}

CallerFlowEnd flowEndOfReset(RefusalReason reason, FlowState state)
{
    if (state == FlowState::Opening)
        return CallerFlowEnd::Refused;
    if (reason == RefusalReason::DataCentreOut)
        return CallerFlowEnd::GivenUp;
    if (reason == RefusalReason::UpstreamDraining)
        return CallerFlowEnd::Drained;
    return CallerFlowEnd::Broken;
}

OwnerToken ownerOf(const wire::Packet& packet)
{
    return { .upstream = packet.owner_upstream(), .incarnation = packet.owner_incarnation() };
}

Bytes closeFrameFor(const wire::Packet& packet)
{
    return encodePacket({ .kind = wire::PacketKind::Close,
                            .service = packet.service(),
                            .flow = packet.flow(),
                            .source = packet.source(),
                            .owner = ownerOf(packet) },
        nullptr);
}

CallerFlow::CallerFlow(const CallerFlowOptions& options, Millis now)
    : m_options(options)
    , m_endpoint(options.endpoint)
    , m_startedAt(now)
    , m_openDue(now)
    , m_openResend(options.openResend)
    , m_probeRepeat(options.probeRepeat)
{
}

void CallerFlow::receive(const wire::Packet& packet, Millis now)
{
    const OwnerToken token = ownerOf(packet);
    if (packet.kind() == wire::PacketKind::Opened && token.isSet())
        handleOpened(token);
    if (m_state == FlowState::Ended)
        return;
    // Packets of other processes are ignored: their sequence numbers also start at 1, so they would corrupt the owner's.
    const bool isFromOwner = m_state == FlowState::Open && token == m_owner;
    if (packet.kind() == wire::PacketKind::Reset && (isFromOwner || m_state == FlowState::Opening)) {
        handleReset(packet);
        return;
    }
    if (!isFromOwner)
        return;
    m_unansweredSince.reset();
    m_isSuspect = false;
    m_probeDue = now + m_options.probeInterval;
    m_probeRepeat = m_options.probeRepeat;
    m_endpoint.acknowledge(packet.acknowledged(), now);
    if (m_endpoint.unacknowledged() > 0)
        expectAnswer(now);
    if (packet.kind() == wire::PacketKind::Segment && packet.payload()) {
        m_endpoint.receive(packet.sequence(), Bytes(packet.payload()->begin(), packet.payload()->end()));
        m_ackPending = true;
    }
    if (packet.kind() == wire::PacketKind::Close)
        finish(CallerFlowEnd::ClosedByPeer);
}

// Two copies of one open packet may reach two agents over different balancers before either agent knows of the other.
// The agent that answers first becomes the owner. The other one is sent a close packet, since it would otherwise hold an
// unused flow until its silence limit.
void CallerFlow::handleOpened(const OwnerToken& token)
{
    if (m_state == FlowState::Opening) {
        m_owner = token;
        m_state = FlowState::Open;
        return;
    }
    if (token != m_owner || m_state == FlowState::Ended)
        m_pendingCloses.push_back(token);
}

void CallerFlow::handleReset(const wire::Packet& packet)
{
    m_lastReason = fromNumber<RefusalReason>(packet.reason()).value_or(RefusalReason::None);
    m_retryAfter = packet.retry_after();
    finish(flowEndOfReset(m_lastReason, m_state));
}

bool CallerFlow::send(Bytes payload)
{
    return m_state != FlowState::Ended && m_endpoint.send(std::move(payload));
}

void CallerFlow::handlePathUp(Millis now)
{
    m_openDue = now;
    m_openResend = m_options.openResend;
}

void CallerFlow::close()
{
    if (m_state == FlowState::Open)
        m_pendingCloses.push_back(m_owner);
    finish(CallerFlowEnd::ClosedHere);
}

void CallerFlow::finish(CallerFlowEnd end)
{
    if (m_state == FlowState::Ended)
        return;
    m_state = FlowState::Ended;
    m_end = end;
}

std::vector<Bytes> CallerFlow::collectOutgoing(Millis now)
{
    std::vector<Bytes> frames;
    for (const OwnerToken& token : std::exchange(m_pendingCloses, {}))
        frames.push_back(frame(wire::PacketKind::Close, token));
    if (m_state == FlowState::Opening)
        appendOpen(frames, now);
    if (m_state == FlowState::Open) {
        appendSegments(frames, now);
        appendProbe(frames, now);
    }
    return frames;
}

void CallerFlow::appendOpen(std::vector<Bytes>& frames, Millis now)
{
    if (now - m_startedAt >= m_options.openLimit) {
        finish(CallerFlowEnd::Unanswered);
        return;
    }
    if (now < m_openDue)
        return;
    frames.push_back(frame(wire::PacketKind::Open, {}));
    m_openDue = now + m_openResend;
    m_openResend = std::min(m_openResend * 2, m_options.maxOpenResend);
}

void CallerFlow::appendSegments(std::vector<Bytes>& frames, Millis now)
{
    for (const FlowEndpoint::Segment& segment : m_endpoint.collectOutgoing(now)) {
        frames.push_back(frame(wire::PacketKind::Segment, m_owner, &segment));
        m_ackPending = false;
        expectAnswer(now);
    }
    if (m_ackPending)
        frames.push_back(frame(wire::PacketKind::Ack, m_owner));
    m_ackPending = false;
}

// A device on the path may drop the packets of one flow for good while new flows work. The only symptom is that no
// answers arrive, so an idle flow sends probes, and a flow without answers ends after the silence limit.
void CallerFlow::appendProbe(std::vector<Bytes>& frames, Millis now)
{
    m_isSuspect = m_unansweredSince && now - *m_unansweredSince >= m_options.suspectAfter;
    if (m_isSuspect && now - *m_unansweredSince >= m_options.silenceLimit) {
        finish(CallerFlowEnd::Silent);
        return;
    }
    if (m_probeDue == 0)
        m_probeDue = now + m_options.probeInterval;
    if (now < m_probeDue)
        return;
    frames.push_back(frame(wire::PacketKind::Ack, m_owner));
    // A probe may pass through any balancer, and a balancer may be frozen for some seconds before this is detected. With one
    // probe per interval, two lost probes would use up most of the silence limit, so an unanswered probe is repeated sooner.
    m_probeDue = now + m_probeRepeat;
    m_probeRepeat = std::min(m_probeRepeat * 2, m_options.probeInterval);
    expectAnswer(now);
}

void CallerFlow::expectAnswer(Millis now)
{
    if (!m_unansweredSince)
        m_unansweredSince = now;
}

std::optional<Millis> CallerFlow::nextDueTime() const
{
    if (!m_pendingCloses.empty())
        return 0;
    if (m_state == FlowState::Ended)
        return std::nullopt;
    if (m_state == FlowState::Opening)
        return std::min(m_openDue, m_startedAt + m_options.openLimit);
    if (m_ackPending)
        return 0;
    Millis due = m_probeDue;
    if (const auto segment = m_endpoint.nextDueTime())
        due = std::min(due, *segment);
    if (m_unansweredSince)
        due = std::min(due, *m_unansweredSince + (m_isSuspect ? m_options.silenceLimit : m_options.suspectAfter));
    return due;
}

Bytes CallerFlow::frame(wire::PacketKind kind, const OwnerToken& token, const FlowEndpoint::Segment* segment) const
{
    return encodePacket({ .kind = kind,
                            .service = m_options.service,
                            .flow = m_options.flow,
                            .source = m_options.source,
                            .owner = token,
                            .sequence = segment ? segment->sequence : 0,
                            .acknowledged = m_endpoint.receivedUpTo() },
        segment ? segment->payload.get() : nullptr);
}

}
