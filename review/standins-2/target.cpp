#include "target.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace review {

using namespace kingcuptrail;

namespace {

    constexpr Millis firstRetransmission = 200;
    constexpr Millis longestRetransmission = 1600;
    constexpr int maxRetransmissions = 8;
    constexpr std::size_t maxFlows = 2000;
    constexpr std::size_t maxQueued = 20;
    constexpr Millis reportTimeout = 1000;
    /// How far an acknowledgement may be beyond the target's own sequence number.
    constexpr std::uint32_t window = 100000;

    std::string attemptOf(const std::string& request)
    {
        constexpr std::string_view header = "X-Kingcuptrail-Attempt-Id: ";
        const auto begin = request.find(header);
        if (begin == std::string::npos)
            return "?";
        const auto from = begin + header.size();
        return request.substr(from, request.find("\r\n", from) - from);
    }

}

Target::Target(asio::io_context& context, TargetOptions options, TargetEvents events, Record& record, std::uint32_t seed)
    : m_context(context)
    , m_options(std::move(options))
    , m_events(std::move(events))
    , m_record(record)
    , m_random(seed + 1)
    , m_reportTimer(context)
{
}

bool Target::boot()
{
    DatagramError error = DatagramError::None;
    m_socket = DatagramSocket::open(
        m_context, { m_options.address, m_options.appPort }, [this](std::span<std::uint8_t> bytes, const asio::ip::udp::endpoint&) { handle(bytes); }, error);
    asio::error_code listenError;
    m_health = HttpServer::listen(
        m_context, { m_options.address, m_options.appPort }, { .requestTimeout = 60000 },
        [](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) { responder->respond({ .status = 200 }); }, listenError);
    m_born = std::max(m_born + 1, unixMillis());
    m_id = "i-" + std::to_string(m_born) + "-" + std::to_string(m_options.address.to_uint() & 0xff);
    m_sequence = 0;
    m_record.add(m_options.host + ": boot " + m_id);
    report();
    return m_socket && m_health;
}

void Target::crash()
{
    m_record.add(m_options.host + ": boot " + m_id + " crashes");
    m_reportTimer.cancel();
    if (m_call)
        m_call->cancel();
    m_socket.reset();
    m_health.reset();
    m_flows.clear();
    m_queue.clear();
    m_workers.clear();
    m_atWork = 0;
}

bool Target::holds(const Flow& flow) const
{
    const auto found = m_flows.find(flow);
    return found != m_flows.end() && found->second.isOpen && !found->second.hasEnded;
}

HttpRequest Target::writeReport()
{
    const nlohmann::json body {
        { "service", m_options.service },
        { "address", m_options.address.to_string() + ":" + std::to_string(m_options.appPort) },
        { "zone", m_options.zone },
        { "version", "v1" },
        { "slots", m_options.slots },
        { "state", "ready" },
        { "warmup-left-ms", 0 },
        { "sequence", ++m_sequence },
        { "born", m_born },
    };
    return { .method = "PUT", .target = "/targets/" + m_id, .headers = { { .name = "Content-Type", .value = "application/json" } }, .body = body.dump() };
}

// A report that is not confirmed is sent again soon: there is only one daemon to call.
void Target::report()
{
    if (m_call)
        m_call->cancel();
    HttpCall::Handlers handlers;
    handlers.onDone = [this, id = m_id](const std::optional<HttpResponse>& response, const HttpOutcome&) {
        if (response && response->status / 100 == 2)
            ++m_confirmed;
        else if (id == m_id && m_socket && m_options.reportRetry > 0)
            m_reportTimer.start(m_options.reportRetry, [this] { report(); });
    };
    m_call = startHttpCall(m_context, { m_options.address, m_options.controlPort }, writeReport(), { .connectTimeout = reportTimeout, .timeout = reportTimeout }, std::move(handlers));
    m_reportTimer.start(m_options.heartbeat, [this] { report(); });
}

void Target::handle(std::span<std::uint8_t> bytes)
{
    const auto packet = decode(bytes);
    if (!packet || !hasSendersSum(bytes)) {
        m_record.add(m_options.host + ": a packet that its sender did not write so");
        return;
    }
    const Flow flow { .requester = packet->source, .route = packet->destination };
    const auto found = m_flows.find(flow);
    const bool isOpening = packet->has(synFlag);
    const bool isHeld = found != m_flows.end() && (isOpening || packet->acknowledged - found->second.sequence < window);
    if ((isOpening && !isHeld && m_flows.size() >= maxFlows) || (!isOpening && !isHeld)) {
        markBounced(bytes);
        m_socket->send(bytes, { m_options.address, m_options.outboundPort });
        return;
    }
    if (isOpening) {
        handleOpening(flow, *packet);
        return;
    }
    HeldFlow& held = found->second;
    if (packet->has(rstFlag)) {
        m_flows.erase(found);
        return;
    }
    if (held.hasEnded) {
        if (packet->has(finFlag)) {
            send(flow, ackFlag, held.sequence, packet->sequence + 1);
        } else if (!packet->data.empty()) {
            m_events.onReset(m_options.host, flow);
            send(flow, rstFlag, packet->acknowledged, 0);
        }
        return;
    }
    held.isOpen = true;
    held.acknowledged = packet->acknowledged;
    if (!held.answer.empty() && held.acknowledged - held.answerSequence >= held.answer.size() && held.acknowledged - held.answerSequence < window) {
        held.answer.clear();
        held.timer->cancel();
    }
    if (!packet->data.empty())
        handleData(flow, held, *packet);
    if (packet->has(finFlag)) {
        held.hasEnded = true;
        held.answer.clear();
        send(flow, ackFlag | finFlag, held.sequence, packet->sequence + static_cast<std::uint32_t>(packet->data.size()) + 1);
    }
}

void Target::handleOpening(const Flow& flow, const Packet& packet)
{
    auto [found, isNew] = m_flows.try_emplace(flow);
    HeldFlow& held = found->second;
    if (isNew || held.hasEnded) {
        held = {};
        held.timer = std::make_unique<Delay>(m_context);
        held.sequence = static_cast<std::uint32_t>(m_random());
        held.expected = packet.sequence + 1;
        m_events.onOpening(m_options.host, flow);
    }
    if (!held.isOpen)
        send(flow, synFlag | ackFlag, held.sequence, held.expected);
}

void Target::handleData(const Flow& flow, HeldFlow& held, const Packet& packet)
{
    if (packet.sequence != held.expected) {
        send(flow, ackFlag, held.sequence + 1, held.expected);
        return;
    }
    held.expected += static_cast<std::uint32_t>(packet.data.size());
    send(flow, ackFlag, held.sequence + 1, held.expected);
    if (m_atWork >= m_options.slots && m_queue.size() >= maxQueued) {
        held.answer = "HTTP/1.1 503 Service Unavailable\r\nX-Kingcuptrail-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        held.answerSequence = held.acknowledged;
        held.answerCopies = 0;
        sendAnswer(flow);
        return;
    }
    m_queue.push_back({ .flow = flow, .request = packet.data });
    startWork();
}

void Target::startWork()
{
    while (m_atWork < m_options.slots && !m_queue.empty()) {
        Work work = std::move(m_queue.front());
        m_queue.pop_front();
        ++m_atWork;
        m_events.onRun(m_options.host, attemptOf(work.request));
        m_workers.push_back(std::make_unique<Delay>(m_context));
        m_workers.back()->start(m_options.work, [this, work] { answer(work); });
    }
}

void Target::answer(const Work& work)
{
    --m_atWork;
    const auto found = m_flows.find(work.flow);
    if (found != m_flows.end() && !found->second.hasEnded) {
        HeldFlow& held = found->second;
        const std::string body = m_options.host + " " + attemptOf(work.request);
        held.answer = "HTTP/1.1 200 OK\r\nX-Kingcuptrail-Response-Seal: " + attemptOf(work.request) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        held.answerSequence = held.acknowledged;
        held.answerCopies = 0;
        sendAnswer(work.flow);
    }
    startWork();
}

void Target::sendAnswer(const Flow& flow)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || found->second.answer.empty())
        return;
    HeldFlow& held = found->second;
    if (held.answerCopies++ > maxRetransmissions)
        return;
    send(flow, ackFlag, held.answerSequence, held.expected, held.answer);
    held.timer->start(std::min(firstRetransmission << (held.answerCopies - 1), longestRetransmission), [this, flow] { sendAnswer(flow); });
}

void Target::send(const Flow& flow, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledged, const std::string& data)
{
    const auto bytes = encode({ .source = flow.route, .destination = flow.requester, .flags = flags, .sequence = sequence, .acknowledged = acknowledged, .data = data });
    m_socket->send(bytes, { m_options.address, m_options.outboundPort });
}

}
