#include "flowverifier.h"

namespace kingcuptrail {

namespace {

    constexpr Millis stepInterval = 20;

}

FlowVerifier::FlowVerifier(AgentState& state)
    : m_state(state)
    , m_timer(state.role.context)
{
}

std::size_t FlowVerifier::begin()
{
    const std::size_t flows = beginVerification(m_verification, m_state.flows, m_state.role.clock.now());
    sendCopies();
    return flows;
}

// The copies carry no mark, so their return answers no balancer.
void FlowVerifier::sendCopies()
{
    for (const FlowKey& flow : takeDueCopies(m_verification, m_state.flows, m_state.role.clock.now())) {
        deliverToUpstream(m_state, m_state.flows.flows.at(flow).callerPacket, 0, false);
        m_state.packetOutcomes.increment(AgentPacketOutcome::SentToVerify);
    }
    if (!m_verification.flows.empty())
        m_timer.start(stepInterval, [this] { sendCopies(); });
}

void FlowVerifier::handleReturned(const FlowKey& flow)
{
    if (const auto lost = recordReturned(m_verification, m_state.flows, flow))
        resetLostFlow(m_state, *lost, FlowLoss::Returned);
}

}
