#include "soakcaller.h"

#include "platform/trustadapter.h"

#include <asio/post.hpp>

namespace kingcuptrail {

namespace {

    constexpr Millis flowInterval = 40;
    constexpr Millis resendInterval = 200;
    constexpr int maxOpeningSends = 4;
    constexpr int maxRequestSends = 12;
    constexpr std::uint32_t firstSequence = 1000;
    constexpr std::uint16_t firstPort = 1024;
    /// How far the sequence number of a reset may be from the caller's last acknowledgement once the flow is open.
    constexpr std::uint32_t resetWindow = 76800;

    bool isInResetWindow(std::uint32_t sequence, std::uint32_t acknowledged)
    {
        return sequence - acknowledged + resetWindow <= 2 * resetWindow;
    }

}

SoakCaller::SoakCaller(asio::io_context& context, const asio::ip::address_v4& address, std::uint16_t port, std::vector<PacketEndpoint> services, Route route, PromiseChecker& promises, std::uint32_t seed, std::uint16_t portCount)
    : m_context(context)
    , m_address(address)
    , m_services(std::move(services))
    , m_route(std::move(route))
    , m_promises(promises)
    , m_nextTimer(context)
    , m_random(seed)
    , m_portCount(portCount)
{
    DatagramError error = DatagramError::None;
    m_socket = DatagramSocket::open(
        context, { address, port }, [this](std::span<std::uint8_t> packet, const asio::ip::udp::endpoint&) { handlePacket(packet); }, error);
    beginFlow();
}

void SoakCaller::beginFlow()
{
    m_nextTimer.start(flowInterval, [this] { beginFlow(); });
    if (m_isStopped)
        return;
    m_lastPort = static_cast<std::uint16_t>(m_lastPort % m_portCount + 1);
    const FlowKey key { .caller = { .address = m_address.to_uint(), .port = static_cast<std::uint16_t>(firstPort + m_lastPort) }, .service = m_services[m_random() % m_services.size()] };
    const auto [entry, isNew] = m_flows.try_emplace(toString(key));
    if (!isNew)
        return;
    Flow& flow = entry->second;
    flow.key = key;
    flow.requestsLeft = 1 + static_cast<int>(m_random() % 30);
    flow.timer = std::make_unique<Delay>(m_context);
    ++m_counts.flowsTried;
    sendOpening(flow);
}

void SoakCaller::sendOpening(Flow& flow)
{
    if (flow.sends++ == maxOpeningSends) {
        endFlow(toString(flow.key));
        return;
    }
    flow.nextSequence = firstSequence;
    transmit(flow, { .opens = true }, static_cast<std::uint32_t>(flow.sends - 1), {});
    flow.timer->start(resendInterval * flow.sends, [this, &flow] { sendOpening(flow); });
}

void SoakCaller::sendRequest(Flow& flow)
{
    flow.request = std::to_string(m_address.to_uint()) + "/" + std::to_string(++m_nextRequest);
    flow.sends = 0;
    sendRequestAttempt(flow);
}

void SoakCaller::sendRequestAttempt(Flow& flow)
{
    if (flow.sends++ == maxRequestSends) {
        endFlow(toString(flow.key));
        return;
    }
    transmit(flow, { .acknowledges = true }, flow.answerSequence + 1, flow.request);
    flow.timer->start(resendInterval, [this, &flow] { sendRequestAttempt(flow); });
}

void SoakCaller::transmit(const Flow& flow, const PacketFlags& flags, std::uint32_t acknowledged, const std::string& data)
{
    m_route(flow.key, encodePacket({ .source = flow.key.caller, .destination = flow.key.service, .flags = flags, .sequence = flow.nextSequence, .acknowledged = acknowledged, .data = data }));
}

void SoakCaller::handlePacket(std::span<const std::uint8_t> packet)
{
    DecodeError error = DecodeError::None;
    const auto header = trustAdapter().decodePacket(packet, error);
    if (!header)
        return;
    const std::string name = toString(flowFromUpstream(*header));
    const auto found = m_flows.find(name);
    if (found == m_flows.end())
        return;
    Flow& flow = found->second;
    // A caller whose flow is open takes only resets for this flow. An opening may be refused at one balancer after a copy of it
    // has opened the flow through another.
    if (header->flags.resets && flow.isOpen && !isInResetWindow(header->sequence, flow.answerSequence + 1)) {
        ++m_counts.lateRefusals;
        return;
    }
    if (header->flags.resets) {
        ++m_counts.resets;
        if (flow.isOpen)
            m_promises.checkReset(name, flow.answerSequence);
        endFlow(name);
        return;
    }
    if (!hasValidChecksum(packet)) {
        m_promises.recordViolation(Promise::Untouched, "packet with an invalid checksum at the caller of " + name);
        return;
    }
    if (header->flags.opens && !flow.isOpen) {
        flow.isOpen = true;
        ++m_counts.opened;
        flow.answerSequence = header->sequence;
        flow.nextSequence = firstSequence + 1;
        sendRequest(flow);
    } else if (header->flags.ends) {
        endFlow(name);
    } else if (flow.isOpen && header->dataLength > 0) {
        handleAnswer(flow, payloadOf(packet));
    }
}

void SoakCaller::handleAnswer(Flow& flow, const std::string& data)
{
    if (flow.request.empty())
        return;
    if (data != "answer to " + flow.request) {
        // A duplicate of the answer to this caller's previous request is allowed.
        if (!data.starts_with("answer to " + std::to_string(m_address.to_uint()) + "/"))
            m_promises.recordViolation(Promise::OwnAnswer, data + " received for request " + flow.request);
        return;
    }
    flow.nextSequence += static_cast<std::uint32_t>(flow.request.size());
    flow.request.clear();
    if (--flow.requestsLeft > 0) {
        const Millis pause = m_random() % 2 == 0 ? 20 : 400;
        flow.timer->start(pause, [this, &flow] { sendRequest(flow); });
        return;
    }
    ++m_counts.served;
    transmit(flow, { .acknowledges = true, .ends = true }, flow.answerSequence + 1, {});
    flow.timer->start(resendInterval, [this, name = toString(flow.key)] { endFlow(name); });
}

// The removal is posted, because this function may be called by a handler of the flow's own timer, and a timer must not be
// destroyed while its handler runs.
void SoakCaller::endFlow(const std::string& name)
{
    asio::post(m_context, [this, name] { m_flows.erase(name); });
}

}
