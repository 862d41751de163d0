#include "upstreamconnectcheck.h"

namespace kingcuptrail {

UpstreamConnectCheck::UpstreamConnectCheck(asio::io_context& context)
    : m_socket(context)
{
}

bool UpstreamConnectCheck::attempt(const asio::ip::tcp::endpoint& upstream, std::function<void(ConnectionOutcome)> onDone)
{
    if (m_isBusy)
        return false;
    m_isBusy = true;
    const std::weak_ptr<bool> alive = m_isAlive;
    m_socket.async_connect(upstream, [this, alive, onDone = std::move(onDone)](const asio::error_code& error) {
        if (alive.expired())
            return;
        m_isBusy = false;
        // A socket cannot be reused after a failed connection. An error of close() does not matter here.
        asio::error_code ignored;
        m_socket.close(ignored);
        if (!error)
            onDone(ConnectionOutcome::Accepted);
        else
            onDone(error == asio::error::connection_refused ? ConnectionOutcome::Refused : ConnectionOutcome::Unclear);
    });
    return true;
}

void UpstreamConnectCheck::cancel()
{
    asio::error_code ignored;
    m_socket.cancel(ignored);
}

}
