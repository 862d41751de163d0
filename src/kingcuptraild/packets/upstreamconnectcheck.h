#pragma once

#include "libdecision/untrackedflows.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>

namespace kingcuptrail {

/// Checks with a TCP connection whether a process listens at the upstream's address. No data is sent: it is enough to know
/// whether the connection is accepted or refused.
class UpstreamConnectCheck {
public:
    explicit UpstreamConnectCheck(asio::io_context& context);

    /// Connects and closes the connection; returns false and does nothing while an attempt is in progress. `onDone` is not
    /// called after this object is destroyed.
    bool attempt(const asio::ip::tcp::endpoint& upstream, std::function<void(ConnectionOutcome)> onDone);

    /// Ends an attempt that is in progress; its outcome is Unclear.
    void cancel();

private:
    asio::ip::tcp::socket m_socket;
    bool m_isBusy = false;
    /// Expires with this object, so that a pending handler can detect its destruction.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
