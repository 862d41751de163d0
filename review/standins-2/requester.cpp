#include "requester.h"

#include <algorithm>
#include <array>

namespace review {

using namespace kingcuptrail;

namespace {

    constexpr std::array<Millis, 3> openingWaits { 200, 400, 800 };
    constexpr Millis firstRetransmission = 200;
    constexpr Millis longestRetransmission = 1600;
    /// A reset's sequence number may differ from the last acknowledgement by this much.
    constexpr std::uint32_t resetWindow = 76800;

}

Requester::Requester(asio::io_context& context, const asio::ip::address_v4& address, std::uint16_t port, RequesterEvents events, Record& record, std::uint32_t seed)
    : m_context(context)
    , m_address(address)
    , m_events(std::move(events))
    , m_record(record)
    , m_timer(context)
    , m_random(seed + 1)
{
    DatagramError error = DatagramError::None;
    m_socket = DatagramSocket::open(
        context, { address, port }, [this](std::span<std::uint8_t> bytes, const asio::ip::udp::endpoint&) { handle(bytes); }, error);
}

Flow Requester::open(const End& route, int requests, Millis pause, Millis deadline)
{
    const Flow flow { .requester = { .address = m_address.to_uint(), .port = ++m_lastPort }, .route = route };
    OwnFlow& own = m_flows[flow];
    own = { .flow = flow, .pause = pause, .deadline = deadline, .requestsLeft = requests, .sequence = static_cast<std::uint32_t>(m_random()), .timer = std::make_unique<Delay>(m_context) };
    ++m_counts.flows;
    m_sentAt[flow] = m_record.now();
    sendOpening(own);
    return flow;
}

void Requester::openEvery(const End& route, Millis interval, Millis deadline)
{
    open(route, 1, 0, deadline);
    m_timer.start(interval, [this, route, interval, deadline] { openEvery(route, interval, deadline); });
}

Millis Requester::sentAt(const Flow& flow) const
{
    const auto found = m_sentAt.find(flow);
    return found == m_sentAt.end() ? -1 : found->second;
}

std::size_t Requester::openFlows() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_flows, [](const auto& item) { return item.second.isOpen && !item.second.hasEnded; }));
}

void Requester::sendOpening(OwnFlow& own)
{
    if (own.copies == static_cast<int>(openingWaits.size())) {
        ++m_counts.openingsUnanswered;
        ++m_counts.refused;
        end(own);
        return;
    }
    transmit(own, synFlag, static_cast<std::uint32_t>(own.copies));
    own.timer->start(openingWaits.at(static_cast<std::size_t>(own.copies++)), [this, &own] { sendOpening(own); });
}

void Requester::beginRequest(OwnFlow& own)
{
    own.request = "POST /r HTTP/1.1\r\nHost: r\r\nX-Kingcuptrail-Attempt-Id: " + std::to_string(m_address.to_uint() & 0xff) + "-" + std::to_string(++m_lastAttempt) + "\r\nContent-Length: 0\r\n\r\n";
    own.requestSince = m_record.now();
    own.copies = 0;
    sendRequest(own);
}

void Requester::sendRequest(OwnFlow& own)
{
    if (m_record.now() - own.requestSince >= own.deadline) {
        ++m_counts.gaveUp;
        end(own);
        return;
    }
    transmit(own, ackFlag, own.acknowledged, own.request);
    own.timer->start(std::min(firstRetransmission << own.copies++, longestRetransmission), [this, &own] { sendRequest(own); });
}

void Requester::handle(std::span<const std::uint8_t> bytes)
{
    const auto packet = decode(bytes);
    if (!packet)
        return;
    const Flow flow { .requester = packet->destination, .route = packet->source };
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || found->second.hasEnded)
        return;
    OwnFlow& own = found->second;
    if (isSystemReset(bytes)) {
        if (own.isOpen && packet->sequence - own.acknowledged + resetWindow > 2 * resetWindow)
            return;
        if (own.isOpen) {
            ++m_counts.resetBySystem;
            m_events.onSystemReset(flow);
        } else {
            ++m_counts.refused;
        }
        end(own);
        return;
    }
    if (!hasSendersSum(bytes)) {
        m_record.add("requester: a packet that its sender did not write so");
        return;
    }
    if (packet->has(rstFlag)) {
        ++m_counts.resetByTarget;
        end(own);
        return;
    }
    if (packet->has(synFlag)) {
        if (own.isOpen)
            return;
        own.isOpen = true;
        own.sequence += 1;
        own.acknowledged = packet->sequence + 1;
        beginRequest(own);
        return;
    }
    if (!own.isOpen)
        return;
    if (own.isClosing && packet->has(finFlag)) {
        transmit(own, ackFlag, packet->sequence + 1);
        end(own);
        return;
    }
    if (!packet->data.empty())
        handleAnswer(own, *packet);
}

void Requester::handleAnswer(OwnFlow& own, const Packet& packet)
{
    const bool isNew = packet.sequence == own.acknowledged && !own.request.empty();
    if (isNew) {
        own.acknowledged += static_cast<std::uint32_t>(packet.data.size());
        own.sequence += static_cast<std::uint32_t>(own.request.size());
        own.request.clear();
        m_counts.answered += packet.data.starts_with("HTTP/1.1 200") ? 1 : 0;
        if (--own.requestsLeft > 0)
            own.timer->start(own.pause, [this, &own] { beginRequest(own); });
        else
            close(own);
    }
    if (!own.isClosing)
        transmit(own, ackFlag, own.acknowledged);
}

void Requester::close(OwnFlow& own)
{
    own.isClosing = true;
    own.copies = 0;
    sendFin(own);
}

void Requester::sendFin(OwnFlow& own)
{
    constexpr int maxFins = 4;
    if (own.copies == maxFins) {
        end(own);
        return;
    }
    transmit(own, ackFlag | finFlag, own.acknowledged);
    own.timer->start(firstRetransmission << own.copies++, [this, &own] { sendFin(own); });
}

// The flow stays in the map: its timer may be running this function.
void Requester::end(OwnFlow& own)
{
    own.hasEnded = true;
    own.timer->cancel();
}

void Requester::transmit(const OwnFlow& own, std::uint8_t flags, std::uint32_t acknowledged, const std::string& data)
{
    m_events.route(own.flow, encode({ .source = own.flow.requester, .destination = own.flow.route, .flags = flags, .sequence = own.sequence, .acknowledged = acknowledged, .data = data }));
}

}
