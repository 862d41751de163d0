#pragma once

#include "balancerstate.h"
#include "libdecision/pendingrequests.h"

#include <set>

namespace kingcuptrail {

/// Resets the callers of a data centre that is lost, which otherwise would wait for their whole deadlines. Uses the reports of
/// agents in other data centres about unanswered requests, and the balancer's own cache of flow holders. Off unless
/// `packets.toleratedDataCentreLosses` is set.
class LostCallers {
public:
    explicit LostCallers(BalancerState& state);

    /// Records that a packet of the caller with this address arrived. While a data centre is silent, its callers are evidence
    /// that it is lost.
    void recordCaller(std::uint32_t address);
    /// Handles a report of unanswered requests.
    void handleReport(const PeerMessage& message, std::uint32_t sender);
    /// Sends the resets that are due; to be called every 20 ms after the states of data centres were updated.
    void tick(Millis now);

    void exposeMetrics(std::string& out) const;

private:
    bool isEnabled() const { return m_state.role.settings.packets.toleratedDataCentreLosses > 0; }
    void updateLosses(Millis now);
    void beginLoss(const std::string& dataCentre, Millis now);
    std::vector<CachedFlow> extractCachedFlows(const std::string& dataCentre);

    BalancerState& m_state;
    PendingRequestTable m_table;
    /// The data centres whose loss is being handled.
    std::set<std::string> m_lost;
    Millis m_lastSweepAt = 0;
    EnumCounters<PendingReportOutcome> m_reported;
    std::uint64_t m_reroutedPackets = 0;
};

}
