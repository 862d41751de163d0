#include "soakupstream.h"

#include "platform/trustadapter.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    constexpr Millis reportInterval = 400;

    std::uint64_t wallMillis()
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

}

SoakUpstream::SoakUpstream(asio::io_context& context, UpstreamOptions options, PromiseChecker& promises, std::uint32_t seed)
    : m_context(context)
    , m_options(std::move(options))
    , m_promises(promises)
    , m_acceptor(context)
    , m_reportTimer(context)
    , m_random(seed)
    , m_changeTimer(context)
{
    restart();
}

void SoakUpstream::openSockets()
{
    if (!m_acceptor.is_open()) {
        m_acceptor = asio::ip::tcp::acceptor(m_context, { m_options.address, m_options.appPort });
        acceptConnections();
    }
    if (m_socket)
        return;
    DatagramError error = DatagramError::None;
    m_socket = DatagramSocket::open(
        m_context, { m_options.address, m_options.appPort }, [this](std::span<std::uint8_t> packet, const asio::ip::udp::endpoint&) {
            if (m_isPaused)
                m_unread.emplace_back(packet.begin(), packet.end());
            else
                handlePacket(packet); }, error);
}

// Connections stay open until the process ends.
void SoakUpstream::acceptConnections()
{
    m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket connection) {
        if (error)
            return;
        m_connections.push_back(std::move(connection));
        acceptConnections();
    });
}

void SoakUpstream::restart()
{
    startProcess();
    sendReport();
}

void SoakUpstream::restartWithLateReport(Millis reportDelay)
{
    startProcess();
    m_reportTimer.start(reportDelay, [this] { sendReport(); });
}

void SoakUpstream::end(Millis downTime)
{
    stopProcess();
    m_changeTimer.start(downTime, [this] { restart(); });
}

void SoakUpstream::replace(Millis downTime, const std::string& host, const std::string& service, Millis reportDelay, bool isSilent, std::function<void()> onStarted)
{
    if (isSilent)
        std::ranges::move(m_connections, std::back_inserter(m_silentConnections));
    stopProcess();
    m_isReplaced = true;
    m_changeTimer.start(downTime, [this, host, service, reportDelay, onStarted = std::move(onStarted)] {
        m_options.host = host;
        m_options.service = service;
        m_isReplaced = false;
        onStarted();
        restartWithLateReport(reportDelay);
    });
}

void SoakUpstream::stopProcess()
{
    m_changeTimer.cancel();
    m_reportTimer.cancel();
    m_acceptor.close();
    m_connections.clear();
    m_socket.reset();
    m_unread.clear();
    m_flows.clear();
    m_promises.recordProcess(m_options.host, ++m_processNumber);
}

void SoakUpstream::pause(Millis time)
{
    // One that has ended cannot be paused, and its next start must not be lost.
    if (!m_socket)
        return;
    m_isPaused = true;
    m_reportTimer.cancel();
    m_changeTimer.start(time, [this] {
        m_isPaused = false;
        for (auto& packet : std::exchange(m_unread, {}))
            handlePacket(packet);
        sendReport();
    });
}

void SoakUpstream::sendLateReport()
{
    if (m_previousStart == 0)
        return;
    HttpRequest request { .method = "PUT", .target = "/targets/i-" + m_options.host + "-" + std::to_string(m_previousStart), .headers = { { "Content-Type", "application/json" } }, .body = body(m_previousStart, ++m_previousSequence) };
    HttpCall::Handlers handlers;
    handlers.onDone = [](const std::optional<HttpResponse>&, const HttpOutcome&) {};
    m_lateCall = startHttpCall(m_context, { m_options.address, m_options.controlPort }, std::move(request), { .connectTimeout = 300, .timeout = 350 }, std::move(handlers));
}

void SoakUpstream::startProcess()
{
    m_changeTimer.cancel();
    if (m_call)
        m_call->cancel();
    m_isPaused = false;
    m_unread.clear();
    m_flows.clear();
    m_connections.clear();
    openSockets();
    m_previousStart = m_startedAt;
    m_previousSequence = m_sequence;
    m_startedAt = std::max(m_startedAt + 1, wallMillis());
    m_sequence = 0;
    m_isDraining = false;
    m_promises.recordProcess(m_options.host, ++m_processNumber);
    m_promises.recordRestart(m_options.host);
}

void SoakUpstream::startDraining()
{
    m_isDraining = true;
    sendReport();
}

void SoakUpstream::handlePacket(std::span<std::uint8_t> packet)
{
    DecodeError error = DecodeError::None;
    const auto header = trustAdapter().decodePacket(packet, error);
    if (!header || !hasValidChecksum(packet)) {
        m_promises.recordViolation(Promise::Untouched, "packet with an invalid header or checksum at " + m_options.host);
        return;
    }
    const FlowKey flow = flowFromCaller(*header);
    const std::string name = toString(flow);
    if (isOpening(*header)) {
        const auto [found, isNew] = m_flows.try_emplace(name, Flow { .sequence = static_cast<std::uint32_t>(m_random()) });
        if (isNew)
            m_promises.recordOpening(m_options.host, m_options.service, m_options.dataCentre, flow);
        m_promises.recordAnswer(name, found->second.sequence, m_options.host, m_processNumber);
        send({ .source = flow.service, .destination = flow.caller, .flags = { .opens = true, .acknowledges = true }, .sequence = found->second.sequence, .acknowledged = header->sequence + 1 });
        return;
    }
    const auto found = m_flows.find(name);
    const bool isHeld = found != m_flows.end() && header->acknowledged - found->second.sequence < 100000;
    if (!isHeld) {
        returnPacket(packet);
        return;
    }
    if (header->flags.ends) {
        send({ .source = flow.service, .destination = flow.caller, .flags = { .acknowledges = true, .ends = true }, .sequence = found->second.sequence, .acknowledged = header->sequence + 1 });
        return;
    }
    if (header->dataLength > 0)
        answerData(flow, found->second, *header, payloadOf(packet));
}

// The answer repeats the text of the request. A request that is sent again is answered again.
void SoakUpstream::answerData(const FlowKey& flow, Flow& state, const PacketHeader& header, const std::string& data)
{
    m_promises.recordRequest(m_options.host, m_options.service, flow, data);
    state.received = header.sequence + header.dataLength;
    send({
        .source = flow.service,
        .destination = flow.caller,
        .flags = { .acknowledges = true },
        .sequence = state.sequence + 1,
        .acknowledged = state.received,
        .data = "answer to " + data,
    });
}

void SoakUpstream::returnPacket(std::span<std::uint8_t> packet)
{
    constexpr std::size_t flagsOffset = 10;
    constexpr std::uint8_t returnedBit = 4;
    packet[flagsOffset] |= returnedBit;
    m_socket->send(packet, { m_options.address, m_options.outboundPort });
}

void SoakUpstream::send(const PacketFields& fields)
{
    m_socket->send(encodePacket(fields), { m_options.address, m_options.outboundPort });
}

std::string SoakUpstream::body(std::uint64_t startedAt, std::uint64_t sequence) const
{
    return nlohmann::json {
        { "service", m_options.service },
        { "zone", m_options.dataCentre },
        { "version", "v1" },
        { "slots", 5 },
        { "state", m_isDraining ? "draining" : "ready" },
        { "warmup-left-ms", 0 },
        { "sequence", sequence },
        { "born", startedAt },
    }
        .dump();
}

void SoakUpstream::sendReport()
{
    ++m_sequence;
    if (m_call)
        m_call->cancel();
    HttpCall::Handlers handlers;
    handlers.onDone = [this, isDraining = m_isDraining, process = m_processNumber](const std::optional<HttpResponse>& response, const HttpOutcome&) {
        if (response && response->status == 200 && isDraining && process == m_processNumber && m_isDraining)
            m_promises.recordDraining(m_options.host);
    };
    HttpRequest request { .method = "PUT", .target = "/targets/i-" + m_options.host + "-" + std::to_string(m_startedAt), .headers = { { "Content-Type", "application/json" } }, .body = body(m_startedAt, m_sequence) };
    m_call = startHttpCall(m_context, { m_options.address, m_options.controlPort }, std::move(request), { .connectTimeout = 300, .timeout = 350 }, std::move(handlers));
    m_reportTimer.start(reportInterval, [this] { sendReport(); });
}

}
