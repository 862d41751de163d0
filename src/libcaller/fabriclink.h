#pragma once

#include "libprotocol/link.h"

namespace kingcuptrail {

/// Times in milliseconds.
struct FabricLinkOptions {
    asio::ip::tcp::endpoint fabric;
    /// This caller's address at the fabric, by which answers are routed back.
    std::uint64_t source = 0;
    std::string name;
    Millis heartbeat = 500;
    Millis silenceLimit = 2500;
    Millis connectTimeout = 1000;
    Millis redialAfter = 200;
};

/// A caller's link to the fabric; reconnects whenever it is lost. Flows survive a reconnection: lost packets are
/// retransmitted end to end, and the fabric identifies the caller by its source address on the new link.
class FabricLink {
public:
    struct Handlers {
        std::function<void()> onUp;
        std::function<void(const wire::Packet&)> onPacket;
    };

    FabricLink(asio::io_context& context, const FabricLinkOptions& options, Handlers handlers);
    ~FabricLink();
    FabricLink(const FabricLink&) = delete;
    FabricLink& operator=(const FabricLink&) = delete;

    /// Sends an encoded packet. Drops it while there is no link.
    void send(Bytes frame);

    bool isUp() const { return m_link != nullptr; }
    std::uint64_t losses() const { return m_losses; }

    /// Writes all queued data, closes the link and does not reconnect.
    void close();

private:
    void dial();
    void redialLater();
    void handleLink(std::shared_ptr<Link> link);
    void handleFrame(const wire::Frame& frame);
    void scheduleHeartbeat();

    FabricLinkOptions m_options;
    Handlers m_handlers;
    LinkDialer m_dialer;
    asio::steady_timer m_redialTimer;
    asio::steady_timer m_heartbeatTimer;
    std::shared_ptr<Link> m_link;
    std::uint64_t m_losses = 0;
    bool m_closed = false;
    /// Timer handlers hold a weak reference to it, since the handler of an expired timer may still run after this link's
    /// destruction.
    std::shared_ptr<void> m_alive = std::make_shared<char>();
};

}
