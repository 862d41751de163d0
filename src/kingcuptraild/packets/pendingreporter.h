#pragma once

#include "agentstate.h"
#include "libdecision/pendingreports.h"
#include "libplatform/delay.h"

namespace kingcuptrail {

/// Reports the requests that an agent's upstream has not answered yet to balancers of other data centres, so that these can
/// reset the callers when this data centre is lost. Off unless `packets.toleratedDataCentreLosses` is set.
class PendingReporter {
public:
    explicit PendingReporter(AgentState& state);

    /// Records that a caller began to send a request on this flow.
    void recordRequest(const FlowKey& flow);

    void exposeMetrics(std::string& out) const;

private:
    void startTimer();
    void sendReport();
    std::vector<std::uint32_t> receivers() const;

    AgentState& m_state;
    PendingReports m_reports;
    Delay m_timer;
    bool m_isTimerOn = false;
    std::uint64_t m_reported = 0;
    std::uint64_t m_withoutReceiver = 0;
};

}
