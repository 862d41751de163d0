#include "flowlearning.h"

#include "libruntime/events.h"

namespace kingcuptrail {

namespace {

    /// Within which time an upstream hands a packet back that it does not want, in milliseconds. It runs on the same host.
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

// One that runs is left as it is: started anew by each packet, it would not end while packets come.
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

// What an upstream does not hold it hands back at once. A packet that it keeps belongs to a flow that it holds, unless
// nobody is there to take it.
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
