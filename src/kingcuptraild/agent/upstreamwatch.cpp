#include "upstreamwatch.h"

namespace kingcuptrail {

namespace {

    /// Wait between attempts to connect while they fail, in milliseconds.
    constexpr Millis retryInterval = 200;
    /// Shortest time between two connections, in milliseconds. A server that closes them sooner does not keep idle ones.
    constexpr Millis shortestIdle = 1000;

}

UpstreamWatch::UpstreamWatch(const RoleContext& role, Handlers handlers)
    : m_role(role)
    , m_handlers(std::move(handlers))
    , m_socket(role.context)
    , m_timer(role.context)
{
    connect();
}

void UpstreamWatch::connect()
{
    asio::error_code ignored;
    m_socket.close(ignored);
    m_socket.async_connect(m_role.settings.agent.upstream, [this, lifetime = std::weak_ptr(m_lifetime)](asio::error_code error) {
        if (!lifetime.expired() && error != asio::error::operation_aborted)
            handleConnect(error);
    });
}

void UpstreamWatch::connectAfter(Millis pause)
{
    m_timer.expires_after(std::chrono::milliseconds(pause));
    m_timer.async_wait([this, lifetime = std::weak_ptr(m_lifetime)](asio::error_code error) {
        if (!lifetime.expired() && !error)
            connect();
    });
}

void UpstreamWatch::handleConnect(asio::error_code error)
{
    if (error) {
        connectAfter(retryInterval);
    } else {
        m_connectedAt = m_role.clock.now();
        m_wasToldWhy = false;
        awaitEnd();
    }
    m_handlers.onContact(!error);
}

// No request was sent, so any data is what a server sends before it closes an idle connection.
void UpstreamWatch::awaitEnd()
{
    m_socket.async_read_some(asio::buffer(m_ignored), [this, lifetime = std::weak_ptr(m_lifetime)](asio::error_code error, std::size_t) {
        if (lifetime.expired() || error == asio::error::operation_aborted)
            return;
        if (error) {
            handleEnd();
            return;
        }
        m_wasToldWhy = true;
        awaitEnd();
    });
}

void UpstreamWatch::handleEnd()
{
    const Millis life = m_role.clock.now() - m_connectedAt;
    if (indicatesRestart(m_closes, {}, life, m_wasToldWhy))
        m_handlers.onRestart();
    if (life < shortestIdle)
        connectAfter(shortestIdle - life);
    else
        connect();
}

}
