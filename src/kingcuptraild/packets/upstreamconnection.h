#pragma once

#include "agentstate.h"
#include "libplatform/delay.h"

#include <asio/ip/tcp.hpp>

namespace kingcuptrail {

/// Keeps an idle connection to the upstream while reports and packets alone do not show that its process still runs. No data
/// is sent on it.
class UpstreamConnection {
public:
    /// `onEnded` is called when refused connections show that the upstream's process has ended.
    UpstreamConnection(AgentState& state, std::function<void()> onEnded);

    /// Checks the connection and opens one if it is needed; to be called several times a second.
    void tick(Millis now);

    void exposeMetrics(std::string& out) const;

private:
    void checkConnection(Millis now);
    void connect(Millis now);
    void handleOutcome(const asio::error_code& error);
    void close();

    AgentState& m_state;
    std::function<void()> m_onEnded;
    asio::ip::tcp::socket m_socket;
    Delay m_connectTimer;
    EnumCounters<ConnectionOutcome> m_outcomes;
    /// Expires with this object, so that a pending handler can detect its destruction.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

}
