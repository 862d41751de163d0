#include "fabriclink.h"

namespace kingcuptrail {

FabricLink::FabricLink(asio::io_context& context, const FabricLinkOptions& options, Handlers handlers)
    : m_options(options)
    , m_handlers(std::move(handlers))
    , m_dialer(context, { .silenceLimit = options.silenceLimit })
    , m_redialTimer(context)
    , m_heartbeatTimer(context)
{
    dial();
}

FabricLink::~FabricLink()
{
    close();
}

void FabricLink::send(Bytes frame)
{
    if (m_link)
        m_link->sendDroppable(std::move(frame));
}

void FabricLink::close()
{
    m_closed = true;
    m_dialer.cancel();
    m_redialTimer.cancel();
    m_heartbeatTimer.cancel();
    if (m_link)
        m_link->close(true);
    m_link.reset();
}

void FabricLink::dial()
{
    m_dialer.dial(m_options.fabric, m_options.connectTimeout, [this](std::shared_ptr<Link> link, LinkError) {
        if (link)
            handleLink(std::move(link));
        else
            redialLater();
    });
}

void FabricLink::redialLater()
{
    m_redialTimer.expires_after(std::chrono::milliseconds(m_options.redialAfter));
    m_redialTimer.async_wait([this, alive = std::weak_ptr<void>(m_alive)](asio::error_code error) {
        if (!error && !alive.expired() && !m_closed)
            dial();
    });
}

void FabricLink::handleLink(std::shared_ptr<Link> link)
{
    m_link = std::move(link);
    m_link->start({
        .onFrame = [this](Link&, const wire::Frame& frame, std::span<const std::uint8_t>) { handleFrame(frame); },
        .onClosed = [this](Link&, LinkError) {
            m_link.reset();
            ++m_losses;
            m_heartbeatTimer.cancel();
            redialLater(); },
    });
    wire::HelloT hello;
    hello.protocol = protocolVersion;
    hello.role = wire::Role::Caller;
    hello.name = m_options.name;
    hello.source = m_options.source;
    m_link->send(encodeFrameOf(std::move(hello)));
    scheduleHeartbeat();
    m_handlers.onUp();
}

void FabricLink::handleFrame(const wire::Frame& frame)
{
    if (const auto* packet = frame.body_as_Packet())
        m_handlers.onPacket(*packet);
}

void FabricLink::scheduleHeartbeat()
{
    m_heartbeatTimer.expires_after(std::chrono::milliseconds(m_options.heartbeat));
    m_heartbeatTimer.async_wait([this, alive = std::weak_ptr<void>(m_alive)](asio::error_code error) {
        if (error || alive.expired() || !m_link)
            return;
        m_link->send(encodeFrameOf(wire::HeartbeatT {}));
        scheduleHeartbeat();
    });
}

}
