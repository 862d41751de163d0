#pragma once

#include "libdecision/formerflows.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>

namespace kingcuptrail {

/// Tries whether anybody listens at the upstream's address. Sends nothing: whether the connection is refused says all.
class UpstreamContact {
public:
    explicit UpstreamContact(asio::io_context& context);

    /// Connects and closes; nothing while an attempt is under way. `onDone` is not called after this object is gone.
    void attempt(const asio::ip::tcp::endpoint& upstream, std::function<void(ConnectionOutcome)> onDone);

private:
    asio::ip::tcp::socket m_socket;
    bool m_isBusy = false;
    /// Tells a handler that its owner is gone.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
