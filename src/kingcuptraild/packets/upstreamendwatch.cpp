#include "upstreamendwatch.h"

namespace kingcuptrail {

namespace {

    constexpr Millis checkInterval = 20;
    /// After this time an attempt has no clear outcome, in milliseconds. A host that is up answers within a few
    /// milliseconds; without a limit the attempt would last for the operating system's two minutes and prevent others.
    constexpr Millis connectTimeout = 500;

}

UpstreamEndWatch::UpstreamEndWatch(AgentState& state, const UntrackedFlows& untracked, std::function<void()> onEnded)
    : m_state(state)
    , m_untracked(untracked)
    , m_onEnded(std::move(onEnded))
    , m_connectCheck(state.role.context)
    , m_checkTimer(state.role.context)
    , m_connectTimer(state.role.context)
{
}

void UpstreamEndWatch::startIfNeeded()
{
    if (m_isChecking || !needsCheck(m_state.upstreamEnd))
        return;
    m_isChecking = true;
    beginChecks(m_state.upstreamEnd, m_state.role.clock.now());
    m_checkTimer.start(checkInterval, [this] { check(); });
}

void UpstreamEndWatch::check()
{
    const Millis now = m_state.role.clock.now();
    // Before the first report, and after the end was found, the agent has no upstream whose end would matter.
    const bool hasUpstream = m_state.flowAdmission.upstream && !m_state.flowAdmission.endedAt;
    if (hasUpstream && !shouldConnect(m_untracked) && shouldTryConnection(m_state.upstreamEnd, now)) {
        const auto& upstream = m_state.role.settings.packets.upstream;
        if (m_connectCheck.attempt({ upstream.address(), upstream.port() }, [this](ConnectionOutcome outcome) { handleOutcome(outcome); })) {
            recordAttempt(m_state.upstreamEnd, now);
            m_connectTimer.start(connectTimeout, [this] { m_connectCheck.cancel(); });
        }
    }
    m_isChecking = hasUpstream && needsCheck(m_state.upstreamEnd);
    if (m_isChecking)
        m_checkTimer.start(checkInterval, [this] { check(); });
}

void UpstreamEndWatch::handleOutcome(ConnectionOutcome outcome)
{
    m_connectTimer.cancel();
    m_outcomes.increment(outcome);
    if (recordAttemptOutcome(m_state.upstreamEnd, outcome))
        m_onEnded();
}

void UpstreamEndWatch::exposeMetrics(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_upstream_connections_total", "Connections tried because the upstream gave signs of having ended, by outcome.", m_outcomes);
}

}
