#include "upstreamloss.h"

#include "libruntime/events.h"

#include <algorithm>

namespace kingcuptrail {

UpstreamLoss::UpstreamLoss(AgentState& state, UntrackedFlows& untracked, ConnectionAdmission& admission, std::function<void()> announce)
    : m_state(state)
    , m_untracked(untracked)
    , m_admission(admission)
    , m_announce(std::move(announce))
    , m_verifier(state)
{
}

// Packets of flows must not reach another service. A process of the same service may have been sent openings before its
// first report arrived, so its flows are told from those of its predecessor one by one.
void UpstreamLoss::handleNewProcess(bool isOtherService)
{
    if (isOtherService) {
        resetLostFlows(m_state, FlowLoss::UpstreamReplaced);
        return;
    }
    clearUnanswered(m_state.health);
    forgetProcess(m_state.upstreamEnd);
    logEvent(Event::FlowsVerified, { { "flows", m_verifier.begin() }, { "reason", "newProcess" } });
}

void UpstreamLoss::verifyContestedFlows()
{
    if (!m_verifier.isRunning())
        logEvent(Event::FlowsVerified, { { "flows", m_verifier.begin() }, { "reason", "contradictingReport" } });
}

// The upstream's address refuses connections. Its process may have ended, or only closed its listener: it gets no new flows, and
// openings that it has not answered may go to other agents, but its flows are kept until they are known to be lost.
void UpstreamLoss::handleEndSigns()
{
    recordEnd(m_state.upstreamEnd, { .verified = m_verifier.begin() });
}

// No process has bound the upstream's port. All flows are lost.
void UpstreamLoss::handlePortClosed()
{
    const bool isKnown = m_untracked.isGone && (!m_state.flowAdmission.upstream || m_state.flowAdmission.endedAt);
    if (isKnown && m_state.flows.flows.empty())
        return;
    ++m_portsClosed;
    const UpstreamEndDetection signs = m_state.upstreamEnd;
    recordShutdown(m_untracked);
    const std::size_t resets = resetLostFlows(m_state, FlowLoss::UpstreamEnded);
    if (m_state.flowAdmission.upstream)
        recordEnd(signs, { .resets = resets });
}

void UpstreamLoss::recordEnd(const UpstreamEndDetection& signs, const EndedFlows& flows)
{
    const Millis now = m_state.role.clock.now();
    recordUpstreamEnd(m_state.flowAdmission, now);
    forgetProcess(m_state.upstreamEnd);
    const std::size_t returned = m_admission.returnOpenings();
    logEvent(Event::UpstreamEnded, { { "upstream", m_state.flowAdmission.upstream->id }, { "unanswered", signs.unanswered }, { "unansweredFor", static_cast<std::uint64_t>(now - signs.unansweredSince) }, { "refusals", std::max(signs.refusals, m_state.flowAdmission.evidence.refusals) }, { "reportAge", static_cast<std::uint64_t>(now - m_state.flowAdmission.reportedAt) }, { "resets", flows.resets }, { "verified", flows.verified }, { "openingsReturned", returned } });
    m_announce();
}

void UpstreamLoss::exposeMetrics(std::string& out) const
{
    exposeCounter(out, "kingcuptrail_upstream_port_closed_total", "Times that the host reported the upstream's port to be unbound: its process had ended.", m_portsClosed);
    exposeCounter(out, "kingcuptrail_upstream_packets_unsent_total", "Packets to the upstream that the host did not take.", m_state.upstreamSocket->unsent());
    exposeCounters(out, "kingcuptrail_flows_reset_total", "Flows reset because their upstream has lost them, by what showed it.", m_state.resetFlows);
}

}
