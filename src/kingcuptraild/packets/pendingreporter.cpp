#include "pendingreporter.h"

#include <random>

namespace kingcuptrail {

PendingReporter::PendingReporter(AgentState& state)
    : m_state(state)
    , m_timer(state.role.context)
{
    m_reports.receivers = std::random_device {}();
}

void PendingReporter::recordRequest(const FlowKey& flow)
{
    if (m_state.role.settings.packets.toleratedDataCentreLosses == 0)
        return;
    recordRequestBegan(m_reports, flow, m_state.role.clock.now());
    startTimer();
}

// The agent's tick of 100 ms is too coarse: a request would be reported when most have been answered. The timer runs only
// while requests wait.
void PendingReporter::startTimer()
{
    if (m_isTimerOn)
        return;
    m_isTimerOn = true;
    m_timer.start(m_reports.options.interval, [this] {
        m_isTimerOn = false;
        sendReport();
        if (!m_reports.waiting.empty())
            startTimer();
    });
}

void PendingReporter::sendReport()
{
    const std::vector<PendingRequest> report = takeReport(m_reports, m_state.flows, m_state.role.clock.now());
    if (report.empty())
        return;
    const auto receiver = nextReceiver(m_reports, receivers());
    if (!receiver) {
        m_withoutReceiver += report.size();
        return;
    }
    m_reported += report.size();
    m_state.network.send(*receiver, { .kind = wire::PeerKind::PendingRequests, .configVersion = m_state.network.routes().version, .pending = report });
}

std::vector<std::uint32_t> PendingReporter::receivers() const
{
    std::vector<std::uint32_t> balancers;
    for (const auto& [dataCentre, members] : m_state.network.directory().dataCentres) {
        if (dataCentre != m_state.role.settings.dataCentre)
            balancers.insert(balancers.end(), members.readyBalancers.begin(), members.readyBalancers.end());
    }
    return balancers;
}

void PendingReporter::exposeMetrics(std::string& out) const
{
    exposeCounter(out, "kingcuptrail_pending_requests_reported_total", "Unanswered requests that were reported to balancers of other data centres.", m_reported);
    exposeCounter(out, "kingcuptrail_pending_requests_left_out_total", "Unanswered requests that were not reported, because too many waited or no balancer of another data centre is known.", m_reports.leftOut + m_withoutReceiver);
    exposeGauge(out, "kingcuptrail_pending_requests_waiting", "Unanswered requests that wait to be reported.", static_cast<double>(m_reports.waiting.size()));
}

}
