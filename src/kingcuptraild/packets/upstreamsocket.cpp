#include "upstreamsocket.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace kingcuptrail {

UpstreamSocket::UpstreamSocket(asio::io_context& context, std::function<void()> onRefused)
    : m_onRefused(std::move(onRefused))
    , m_socket(context)
    , m_context(context)
{
}

bool UpstreamSocket::open(const asio::ip::address& local, const asio::ip::udp::endpoint& upstream)
{
    asio::error_code error;
    m_socket.open(asio::ip::udp::v4(), error);
    if (!error)
        m_socket.bind({ local, 0 }, error);
    if (!error)
        m_socket.connect(upstream, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return false;
    waitForError();
    return true;
}

void UpstreamSocket::waitForError()
{
    m_socket.async_wait(asio::socket_base::wait_error, [this, alive = std::weak_ptr<bool>(m_isAlive)](const asio::error_code& error) {
        if (alive.expired() || error == asio::error::operation_aborted)
            return;
        handleRefusal();
        waitForError();
    });
}

// A report of the host makes the next call on the socket fail, which then sends nothing. Handling it may change the flow that the
// caller of this function works on, so it is left to the event loop.
void UpstreamSocket::send(std::span<const std::uint8_t> packet)
{
    asio::error_code error;
    m_socket.send(asio::buffer(packet.data(), packet.size()), 0, error);
    if (error == asio::error::connection_refused) {
        handleRefusalLater();
        m_socket.send(asio::buffer(packet.data(), packet.size()), 0, error);
    }
    m_unsent += error ? 1 : 0;
}

void UpstreamSocket::handleRefusalLater()
{
    if (std::exchange(m_isRefused, true))
        return;
    asio::post(m_context, [this, alive = std::weak_ptr<bool>(m_isAlive)] {
        if (!alive.expired())
            handleRefusal();
    });
}

void UpstreamSocket::handleRefusal()
{
    int pending = 0;
    socklen_t length = sizeof(pending);
    if (getsockopt(m_socket.native_handle(), SOL_SOCKET, SO_ERROR, &pending, &length) == 0 && pending == ECONNREFUSED)
        m_isRefused = true;
    if (std::exchange(m_isRefused, false))
        m_onRefused();
}

}
