#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>

namespace kingcuptrail {

/// Passes TCP connections on to a port, and breaks them as something between two hosts would.
class Relay {
public:
    Relay(asio::io_context& context, std::uint16_t target);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    std::uint16_t port() const;

    /// Swallows every byte of the connections open now, for good and without an error; new ones work.
    void silence();

    /// Resets the connections open now; new ones work.
    void cut();

    /// While held, nothing passes in either direction, on any connection; afterwards all of it does.
    void hold(bool isHeld);

    std::size_t connectionCount() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

}
