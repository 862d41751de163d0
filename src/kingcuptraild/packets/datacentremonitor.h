#pragma once

#include "balancerstate.h"

#include <random>

namespace kingcuptrail {

/// Observes which other data centres answer, for one balancer: records every message, pings agents of data centres that are
/// silent, and logs and counts the changes of state. Does nothing unless `packets.toleratedDataCentreLosses` is set.
class DataCentreMonitor {
public:
    explicit DataCentreMonitor(BalancerState& state);

    bool isEnabled() const { return m_state.dataCentreHealth.options.toleratedLosses > 0; }
    /// Handles a valid message from the process at this address. Processes that are not in the directory do not count.
    void handleMessage(std::uint32_t sender);
    /// Sends pings that are due and returns the changes of state since the last call; to be called every 20 ms.
    std::vector<DataCentreChange> tick(Millis now);

    void exposeMetrics(std::string& out) const;

private:
    void sendPings(Millis now);

    BalancerState& m_state;
    std::minstd_rand m_random;
    std::uint64_t m_pings = 0;
    EnumCounters<DataCentreState> m_changes;
};

}
