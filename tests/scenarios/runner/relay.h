#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>

namespace kingcuptrail {

/// Forwards TCP connections to a port of 127.0.0.1 and simulates faults of the network between two hosts.
class Relay {
public:
    Relay(asio::io_context& context, std::uint16_t target);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    std::uint16_t port() const;

    /// From now on drops every byte of the connections that are open now, without an error. New connections work.
    void silence();

    /// Resets the connections that are open now. New connections work.
    void cut();

    /// While held, no connection forwards data in either direction; the data is forwarded afterwards.
    void hold(bool isHeld);

    std::size_t connectionCount() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

}
