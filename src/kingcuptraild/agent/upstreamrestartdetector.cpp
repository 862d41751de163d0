#include "upstreamrestartdetector.h"

namespace kingcuptrail {

namespace {

    /// Wait between attempts to connect while they fail, in milliseconds.
    constexpr Millis retryInterval = 200;
    /// Shortest time between two connections, in milliseconds. A server that closes them sooner does not keep idle ones.
    constexpr Millis minConnectInterval = 1000;

}

UpstreamRestartDetector::UpstreamRestartDetector(const RoleContext& role, Handlers handlers)
    : m_role(role)
    , m_handlers(std::move(handlers))
    , m_socket(role.context)
    , m_timer(role.context)
{
    connect();
}

void UpstreamRestartDetector::connect()
{
    asio::error_code ignored;
    m_socket.close(ignored);
    m_socket.async_connect(m_role.settings.agent.upstream, [this, lifetime = std::weak_ptr(m_lifetime)](asio::error_code error) {
        if (!lifetime.expired() && error != asio::error::operation_aborted)
            handleConnect(error);
    });
}

void UpstreamRestartDetector::connectAfter(Millis pause)
{
    m_timer.expires_after(std::chrono::milliseconds(pause));
    m_timer.async_wait([this, lifetime = std::weak_ptr(m_lifetime)](asio::error_code error) {
        if (!lifetime.expired() && !error)
            connect();
    });
}

void UpstreamRestartDetector::handleConnect(asio::error_code error)
{
    if (error) {
        connectAfter(retryInterval);
    } else {
        m_connectedAt = m_role.clock.now();
        m_hasReceivedData = false;
        awaitClose();
    }
    m_handlers.onConnectAttempt(!error);
}

// No request was sent, so any data is what a server sends before it closes an idle connection.
void UpstreamRestartDetector::awaitClose()
{
    m_socket.async_read_some(asio::buffer(m_readBuffer), [this, lifetime = std::weak_ptr(m_lifetime)](asio::error_code error, std::size_t) {
        if (lifetime.expired() || error == asio::error::operation_aborted)
            return;
        if (error) {
            handleClose();
            return;
        }
        m_hasReceivedData = true;
        awaitClose();
    });
}

void UpstreamRestartDetector::handleClose()
{
    const Millis connectionAge = m_role.clock.now() - m_connectedAt;
    if (indicatesRestart(m_idleCloses, {}, connectionAge, m_hasReceivedData))
        m_handlers.onRestart();
    if (connectionAge < minConnectInterval)
        connectAfter(minConnectInterval - connectionAge);
    else
        connect();
}

}
