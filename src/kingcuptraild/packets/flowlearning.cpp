#include "flowlearning.h"

#include "libruntime/events.h"

namespace kingcuptrail {

namespace {

    /// Time within which the upstream returns a packet of a flow that it does not hold, in milliseconds. Short, because it
    /// runs on the same host.
    constexpr Millis returnTimeout = 12;

}

FlowLearning::FlowLearning(AgentState& state)
    : m_state(state)
    , m_timer(state.role.context)
{
}

void FlowLearning::beginCheck(const FlowKey& flow, const PendingFlowCheck& check)
{
    m_pendingChecks[flow] = check;
    startTimer();
}

std::optional<PendingFlowCheck> FlowLearning::finishCheck(const FlowKey& flow)
{
    const auto found = m_pendingChecks.find(flow);
    if (found == m_pendingChecks.end())
        return std::nullopt;
    const PendingFlowCheck check = found->second;
    m_pendingChecks.erase(found);
    return check;
}

// A running timer is not restarted: if each packet restarted it, it would never fire while packets keep coming.
void FlowLearning::startTimer()
{
    if (m_isTimerOn)
        return;
    m_isTimerOn = true;
    m_timer.start(returnTimeout, [this] {
        m_isTimerOn = false;
        learnUnreturnedFlows();
        if (!m_pendingChecks.empty())
            startTimer();
    });
}

// A packet that was not returned in time belongs to a flow that the upstream holds, provided that an upstream is running:
// without one, nothing would have returned the packet.
void FlowLearning::learnUnreturnedFlows()
{
    const Millis now = m_state.role.clock.now();
    const bool isUpstreamAlive = isRunning(m_state.flowAdmission, now);
    for (const auto& [flow, check] : m_pendingChecks) {
        if (now - check.since < returnTimeout || !isUpstreamAlive)
            continue;
        learnFlow(m_state.flows, flow, check.acknowledged, now);
        logFlowEvent(Event::FlowLearnt, flow, { { "open", m_state.flows.open } });
        sendReply(m_state, check.requester, { .kind = wire::PeerKind::Held, .flow = flow });
    }
    std::erase_if(m_pendingChecks, [now](const auto& item) { return now - item.second.since >= returnTimeout; });
}

}
