#include "peerlink.h"

#include "activeconfig.h"
#include "libdecision/configorder.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// Heartbeats that a peer with a long interval may miss before its link counts as silent.
    constexpr Millis maxMissedHeartbeats = 5;

    std::string toStdString(const flatbuffers::String* string)
    {
        return string ? string->str() : std::string();
    }

}

PeerLink::PeerLink(asio::io_context& context, std::shared_ptr<Link> link, wire::HelloT hello, ActiveConfig& config, Handlers handlers)
    : m_link(std::move(link))
    , m_timer(context)
    , m_hello(std::move(hello))
    , m_config(config)
    , m_handlers(std::move(handlers))
{
    m_ownSilenceLimit = m_link->silenceLimit();
}

void PeerLink::start()
{
    auto self = shared_from_this();
    m_link->start({
        .onFrame = [self](Link&, const wire::Frame& frame, std::span<const std::uint8_t> raw) { self->handleFrame(frame, raw); },
        .onClosed = [self](Link&, LinkError reason) {
            self->m_timer.cancel();
            if (self->m_handlers.onClosed)
                self->m_handlers.onClosed(*self, reason); },
    });
    m_hello.protocol = protocolVersion;
    m_hello.config_version = m_config.version();
    m_link->send(encodeFrameOf(m_hello));
}

void PeerLink::sendHeartbeat()
{
    if (!isUp())
        return;
    const LoadReport report = m_handlers.reportLoad ? m_handlers.reportLoad() : LoadReport {};
    wire::HeartbeatT heartbeat;
    heartbeat.config_version = m_config.version();
    heartbeat.open_flows = report.openFlows;
    heartbeat.busy = report.busy;
    heartbeat.queued = report.queued;
    heartbeat.limit = report.limit;
    heartbeat.member_state = static_cast<std::uint8_t>(report.state);
    heartbeat.links = report.links;
    heartbeat.interval = static_cast<std::uint32_t>(m_handlers.heartbeatInterval());
    m_link->send(encodeFrameOf(heartbeat));
}

void PeerLink::goodbye(wire::GoodbyeReason reason, bool closeAfter)
{
    wire::GoodbyeT goodbye;
    goodbye.reason = reason;
    m_link->send(encodeFrameOf(goodbye));
    if (closeAfter)
        close(true);
}

void PeerLink::close(bool flush)
{
    m_timer.cancel();
    m_link->close(flush);
}

void PeerLink::handleFrame(const wire::Frame& frame, std::span<const std::uint8_t> raw)
{
    if (!m_isUp && frame.body_type() != wire::FrameBody::Hello && frame.body_type() != wire::FrameBody::Goodbye) {
        refuse(wire::GoodbyeReason::BadFrame);
        return;
    }
    switch (frame.body_type()) {
    case wire::FrameBody::Packet:
        m_handlers.onPacket(*this, *frame.body_as_Packet(), raw);
        return;
    case wire::FrameBody::Hello:
        handleHello(*frame.body_as_Hello());
        return;
    case wire::FrameBody::Heartbeat:
        handleHeartbeat(*frame.body_as_Heartbeat());
        return;
    case wire::FrameBody::Goodbye:
        handleGoodbye(*frame.body_as_Goodbye());
        return;
    case wire::FrameBody::ConfigFetch:
    case wire::FrameBody::ConfigSnapshot:
        handleConfigFrame(frame);
        return;
    default:
        if (m_handlers.onOtherFrame)
            m_handlers.onOtherFrame(*this, frame, raw);
        return;
    }
}

void PeerLink::handleHello(const wire::Hello& hello)
{
    if (m_isUp || hello.protocol() != protocolVersion) {
        refuse(wire::GoodbyeReason::ProtocolMismatch);
        return;
    }
    m_peer = {
        .role = hello.role(),
        .name = toStdString(hello.name()),
        .service = toStdString(hello.service()),
        .dataCentre = toStdString(hello.data_centre()),
        .token = { hello.upstream(), hello.incarnation() },
    };
    if (const auto refusal = m_handlers.onHello(m_peer)) {
        refuse(*refusal);
        return;
    }
    m_isUp = true;
    m_peerConfigVersion = hello.config_version();
    if (m_handlers.onUp)
        m_handlers.onUp(*this);
    sendHeartbeat();
    fetchConfigIfBehind();
    scheduleHeartbeat();
}

void PeerLink::handleHeartbeat(const wire::Heartbeat& heartbeat)
{
    m_peerConfigVersion = heartbeat.config_version();
    m_peerInterval = heartbeat.interval();
    m_link->setSilenceLimit(std::max<Millis>(m_ownSilenceLimit, maxMissedHeartbeats * negotiatedInterval()));
    if (m_handlers.onLoadReport) {
        m_handlers.onLoadReport(*this, {
                                           .openFlows = heartbeat.open_flows(),
                                           .busy = heartbeat.busy(),
                                           .queued = heartbeat.queued(),
                                           .limit = heartbeat.limit(),
                                           .links = heartbeat.links(),
                                           .state = fromNumber<MemberState>(heartbeat.member_state()).value_or(MemberState::Draining),
                                       });
    }
    fetchConfigIfBehind();
}

void PeerLink::handleGoodbye(const wire::Goodbye& goodbye)
{
    m_hasReceivedGoodbye = true;
    if (m_handlers.onGoodbye)
        m_handlers.onGoodbye(*this, goodbye.reason());
}

void PeerLink::handleConfigFrame(const wire::Frame& frame)
{
    if (const auto* fetch = frame.body_as_ConfigFetch()) {
        for (Bytes& part : m_config.snapshotFor(fetch->have()))
            m_link->send(std::move(part));
    } else if (const auto* snapshot = frame.body_as_ConfigSnapshot()) {
        m_config.receiveSnapshotPart(*snapshot);
    }
}

// A slow fabric or platform can leave a process on an old configuration, so that it still sends packets to a data centre
// that was taken out. Heartbeats carry the version in force, and a process that is behind fetches the newer one.
void PeerLink::fetchConfigIfBehind()
{
    if (nextConfigStep(m_config.version(), m_peerConfigVersion) != ConfigStep::Fetch || !m_config.tryStartFetch(m_clock.now()))
        return;
    wire::ConfigFetchT fetch;
    fetch.have = m_config.version();
    m_link->send(encodeFrameOf(fetch));
}

// Both sides announce the interval they want, and both use the longer one. An agent with few links would otherwise send
// heartbeats to a balancer with thousands of links at its own short interval, and the balancer's control traffic would grow
// with the number of agents.
Millis PeerLink::negotiatedInterval() const
{
    return std::max(m_handlers.heartbeatInterval(), m_peerInterval);
}

void PeerLink::scheduleHeartbeat()
{
    auto self = shared_from_this();
    m_timer.expires_after(std::chrono::milliseconds(negotiatedInterval()));
    m_timer.async_wait([self](asio::error_code error) {
        if (error || !self->isUp())
            return;
        self->sendHeartbeat();
        self->scheduleHeartbeat();
    });
}

void PeerLink::refuse(wire::GoodbyeReason reason)
{
    goodbye(reason, true);
    if (m_handlers.onClosed)
        m_handlers.onClosed(*this, LinkError::NotExpected);
}

}
