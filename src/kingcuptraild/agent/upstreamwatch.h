#pragma once

#include "kingcuptraild/rolecontext.h"
#include "libdecision/idleclose.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace kingcuptrail {

/// Holds one idle connection to the upstream and connects again when it is lost. The end of the upstream's process closes
/// it at once, so that a restart shows even if no request is under way and none comes before the next process listens.
class UpstreamWatch : public Supervised {
public:
    struct Handlers {
        /// Whether an attempt to connect was accepted.
        std::function<void(bool isConnected)> onContact;
        /// The connection's end shows that the upstream was restarted.
        std::function<void()> onRestart;
    };

    UpstreamWatch(const RoleContext& role, Handlers handlers);

private:
    void connect();
    void connectAfter(Millis pause);
    void handleConnect(asio::error_code error);
    void awaitEnd();
    void handleEnd();

    const RoleContext& m_role;
    Handlers m_handlers;
    /// Completions that were queued before the end of this object see that it is gone.
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::array<char, 256> m_ignored {};
    Millis m_connectedAt = 0;
    bool m_wasToldWhy = false;
    IdleCloseHistory m_closes;
};

}
