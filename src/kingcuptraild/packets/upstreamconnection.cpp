#include "upstreamconnection.h"

namespace kingcuptrail {

namespace {

    /// After this time an attempt has no clear outcome, in milliseconds. Shorter than the time that is left when the attempt
    /// is due.
    constexpr Millis connectTimeout = 400;

}

UpstreamConnection::UpstreamConnection(AgentState& state, std::function<void()> onEnded)
    : m_state(state)
    , m_onEnded(std::move(onEnded))
    , m_socket(state.role.context)
    , m_connectTimer(state.role.context)
{
}

void UpstreamConnection::tick(Millis now)
{
    UpstreamEvidence& evidence = m_state.flowAdmission.evidence;
    if (evidence.isConnected)
        checkConnection(now);
    // An upstream that gets no new flows needs no evidence.
    if (takesFlows(m_state.flowAdmission) && shouldConnect(evidence, now))
        connect(now);
}

// The check is a read that does not block, and no read is left pending: the result of one that was pending during a pause of
// this process would be as old as the pause.
void UpstreamConnection::checkConnection(Millis now)
{
    std::array<char, 256> ignoredData {};
    asio::error_code error;
    m_socket.read_some(asio::buffer(ignoredData), error);
    if (!error || error == asio::error::would_block) {
        recordStillConnected(m_state.flowAdmission.evidence, now);
        return;
    }
    close();
    recordDisconnected(m_state.flowAdmission.evidence);
}

void UpstreamConnection::connect(Millis now)
{
    close();
    recordConnecting(m_state.flowAdmission.evidence, now);
    const auto& upstream = m_state.role.settings.packets.upstream;
    const std::weak_ptr<bool> alive = m_isAlive;
    m_socket.async_connect({ upstream.address(), upstream.port() }, [this, alive](const asio::error_code& error) {
        if (!alive.expired())
            handleOutcome(error);
    });
    m_connectTimer.start(connectTimeout, [this] { close(); });
}

void UpstreamConnection::handleOutcome(const asio::error_code& error)
{
    m_connectTimer.cancel();
    const ConnectionOutcome refusedOrUnclear = error == asio::error::connection_refused ? ConnectionOutcome::Refused : ConnectionOutcome::Unclear;
    ConnectionOutcome outcome = error ? refusedOrUnclear : ConnectionOutcome::Accepted;
    asio::error_code modeError;
    if (outcome == ConnectionOutcome::Accepted && m_socket.non_blocking(true, modeError))
        outcome = ConnectionOutcome::Unclear;
    m_outcomes.increment(outcome);
    UpstreamEvidence& evidence = m_state.flowAdmission.evidence;
    const bool hasEnded = recordConnectOutcome(evidence, outcome, m_state.role.clock.now());
    if (!evidence.isConnected)
        close();
    if (hasEnded && takesFlows(m_state.flowAdmission))
        m_onEnded();
}

void UpstreamConnection::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
}

void UpstreamConnection::exposeMetrics(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_upstream_idle_connections_total", "Connections tried because neither a report nor a packet showed that the upstream's process still ran, by outcome.", m_outcomes);
}

}
