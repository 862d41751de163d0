#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

namespace kingcuptrail {

/// Sends packets to the upstream. The socket is connected, so that the host reports when no process has bound the upstream's
/// port: the process that held its flows has ended. Nothing else shows this for certain, since a process may close its listener
/// and serve its flows, and one that does not answer may be paused.
class UpstreamSocket {
public:
    /// `onRefused` is called from the event loop when the host has reported that the port is not bound.
    UpstreamSocket(asio::io_context& context, std::function<void()> onRefused);

    /// Binds the socket to an address of this host and connects it. Returns false when that fails.
    bool open(const asio::ip::address& local, const asio::ip::udp::endpoint& upstream);

    /// Sends a packet, or drops and counts it when the host does not take it.
    void send(std::span<const std::uint8_t> packet);

    std::uint64_t unsent() const { return m_unsent; }

    /// Handles a report of the host that has not been handled yet. To be called before anything is taken from a new process, since
    /// the report may be from before its start.
    void handleRefusal();

private:
    void waitForError();
    void handleRefusalLater();

    std::function<void()> m_onRefused;
    asio::ip::udp::socket m_socket;
    asio::io_context& m_context;
    bool m_isRefused = false;
    std::uint64_t m_unsent = 0;
    /// Expires with this object, so that a pending handler can detect its destruction.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
