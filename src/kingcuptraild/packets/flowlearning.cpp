#include "flowlearning.h"

#include "libruntime/events.h"

namespace kingcuptrail {

namespace {

    /// Time within which the upstream returns a packet of a flow that it does not hold, in milliseconds. Short, because it
    /// runs on the same host.
    constexpr Millis returnTime = 12;

}

FlowLearning::FlowLearning(AgentState& state)
    : m_state(state)
    , m_timer(state.role.context)
{
}

void FlowLearning::ask(const FlowKey& flow, const FlowQuestion& question)
{
    m_questions[flow] = question;
    startTimer();
}

std::optional<FlowQuestion> FlowLearning::take(const FlowKey& flow)
{
    const auto found = m_questions.find(flow);
    if (found == m_questions.end())
        return std::nullopt;
    const FlowQuestion question = found->second;
    m_questions.erase(found);
    return question;
}

// A running timer is not restarted: if each packet restarted it, it would never fire while packets keep coming.
void FlowLearning::startTimer()
{
    if (m_isTimerOn)
        return;
    m_isTimerOn = true;
    m_timer.start(returnTime, [this] {
        m_isTimerOn = false;
        settle();
        if (!m_questions.empty())
            startTimer();
    });
}

// A packet that was not returned in time belongs to a flow that the upstream holds, provided that an upstream is running:
// without one, nothing would have returned the packet.
void FlowLearning::settle()
{
    const Millis now = m_state.role.clock.now();
    const bool isUpstreamThere = m_state.gate.upstream && now - m_state.gate.reportedAt <= m_state.gate.options.reportLimit;
    for (const auto& [flow, question] : m_questions) {
        if (now - question.since < returnTime || !isUpstreamThere)
            continue;
        learnFlow(m_state.flows, flow, question.acknowledged, now);
        logFlowEvent(Event::FlowLearnt, flow, { { "open", m_state.flows.open } });
        reply(m_state, question.asker, { .kind = wire::PeerKind::Held, .flow = flow });
    }
    std::erase_if(m_questions, [now](const auto& item) { return now - item.second.since >= returnTime; });
}

}
