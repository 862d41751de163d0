#pragma once

#include "kingcuptraild/rolecontext.h"
#include "libdecision/idleclose.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace kingcuptrail {

/// Keeps one idle connection to the upstream and reconnects when it is lost. The connection closes as soon as the upstream's
/// process ends, so that a restart is noticed even if no request is in progress before the next process listens.
class UpstreamRestartDetector : public Supervised {
public:
    struct Handlers {
        /// Reports whether the upstream accepted an attempt to connect.
        std::function<void(bool isConnected)> onConnectAttempt;
        /// Called when the end of the connection shows that the upstream was restarted.
        std::function<void()> onRestart;
    };

    UpstreamRestartDetector(const RoleContext& role, Handlers handlers);

private:
    void connect();
    void connectAfter(Millis pause);
    void handleConnect(asio::error_code error);
    void awaitClose();
    void handleClose();

    const RoleContext& m_role;
    Handlers m_handlers;
    /// Lets handlers that are still queued when this object is destroyed detect the destruction.
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::array<char, 256> m_readBuffer {};
    Millis m_connectedAt = 0;
    bool m_hasReceivedData = false;
    IdleCloseHistory m_idleCloses;
};

}
