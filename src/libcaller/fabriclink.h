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

/// A caller's link to the fabric, made again whenever it is lost. Flows outlive it: their packets are sent again end to
/// end, and the fabric knows the caller by its source on the new link.
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

    /// Sends an encoded packet; it is lost while there is no link, as on any network.
    void send(Bytes frame);

    bool isUp() const { return m_link != nullptr; }
    std::uint64_t losses() const { return m_losses; }

    /// Writes what is queued and ends the link for good.
    void close();

private:
    void dial();
    void redialLater();
    void handleLink(std::shared_ptr<Link> link);
    void handleFrame(const wire::Frame& frame);
    void beat();

    FabricLinkOptions m_options;
    Handlers m_handlers;
    LinkDialer m_dialer;
    asio::steady_timer m_redialTimer;
    asio::steady_timer m_heartbeatTimer;
    std::shared_ptr<Link> m_link;
    std::uint64_t m_losses = 0;
    bool m_closed = false;
    /// A timer that has already expired still calls its handler after it is destroyed; the handler looks here first.
    std::shared_ptr<void> m_alive = std::make_shared<char>();
};

}
