#include "lostcallers.h"

#include "libruntime/events.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// How often expired records are removed, in milliseconds.
    constexpr Millis sweepInterval = 1000;

}

LostCallers::LostCallers(BalancerState& state)
    : m_state(state)
{
}

void LostCallers::recordCaller(std::uint32_t address)
{
    if (!isEnabled())
        return;
    const Millis now = m_state.role.clock.now();
    const auto dataCentre = servedBy(m_table, address, now);
    if (!dataCentre || *dataCentre == m_state.role.settings.dataCentre)
        return;
    const auto since = recordSeenHere(m_table, address, now);
    const auto health = m_state.dataCentreHealth.dataCentres.find(*dataCentre);
    if (health == m_state.dataCentreHealth.dataCentres.end() || health->second.state == DataCentreState::Reachable)
        return;
    // The routers had moved the caller here while its data centre still answered.
    if (since && *since <= health->second.heardAt)
        return;
    ++m_reroutedPackets;
    recordReroutedCaller(m_state.dataCentreHealth, *dataCentre, address, now);
}

void LostCallers::handleReport(const PeerMessage& message, std::uint32_t sender)
{
    if (!isEnabled())
        return;
    const std::vector<PendingRequest> requests = pendingRequestsOf(message);
    const PeerEntry* entry = findByAddress(m_state.network.directory(), sender);
    const ReceivedReport report { .sender = entry, .isFromLostDataCentre = entry && m_lost.contains(entry->dataCentre), .requests = requests };
    const ReportReceiver receiver { .dataCentre = m_state.role.settings.dataCentre, .directory = m_state.network.directory(), .routes = m_state.network.routes() };
    for (const PendingReportOutcome outcome : recordReport(m_table, report, receiver, m_state.role.clock.now()))
        m_reported.increment(outcome);
}

void LostCallers::tick(Millis now)
{
    if (!isEnabled())
        return;
    updateLosses(now);
    for (const FlowReset& reset : takeResets(m_table, now))
        sendReset(m_state, reset.flow, reset.acknowledged, ResetReason::DataCentreLost);
    if (now - m_lastSweepAt < sweepInterval)
        return;
    m_lastSweepAt = now;
    expirePendingRequests(m_table, now);
}

void LostCallers::updateLosses(Millis now)
{
    std::erase_if(m_lost, [this](const std::string& dataCentre) {
        const bool isOver = stateOf(m_state.dataCentreHealth, dataCentre) != DataCentreState::Lost;
        if (isOver)
            endResets(m_table, dataCentre);
        return isOver;
    });
    for (const auto& [dataCentre, record] : m_state.dataCentreHealth.dataCentres) {
        if (record.state == DataCentreState::Lost && m_lost.insert(dataCentre).second)
            beginLoss(dataCentre, now);
    }
}

void LostCallers::beginLoss(const std::string& dataCentre, Millis now)
{
    const LossExtent extent = beginResets(m_table, dataCentre, extractCachedFlows(dataCentre), now);
    logEvent(Event::CallersNotified, { { "dataCentre", dataCentre }, { "records", extent.records }, { "cachedFlows", extent.cachedFlows }, { "resets", extent.resets } });
}

// The entries are removed from the cache, since their agents would not get another packet.
std::vector<CachedFlow> LostCallers::extractCachedFlows(const std::string& dataCentre)
{
    std::vector<CachedFlow> flows;
    std::erase_if(m_state.holderCache, [&](const auto& item) {
        const auto& [flow, holder] = item;
        const PeerEntry* agent = findByAddress(m_state.network.directory(), holder.agent);
        const bool isLost = agent && agent->dataCentre == dataCentre;
        if (isLost && !holder.hasEnded)
            flows.push_back({ .reset = { .flow = flow, .acknowledged = holder.acknowledged }, .usedAt = holder.usedAt });
        return isLost;
    });
    return flows;
}

void LostCallers::exposeMetrics(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_pending_requests_received_total", "Unanswered requests in reports of agents, by what became of them.", m_reported);
    exposeCounter(out, "kingcuptrail_pending_records_dropped_total", "Records of unanswered requests that were removed early because there were too many.", m_table.dropped);
    exposeCounter(out, "kingcuptrail_rerouted_packets_total", "Packets of callers that a silent data centre served before.", m_reroutedPackets);
    exposeGauge(out, "kingcuptrail_pending_records", "Unanswered requests in other data centres that are known here.", static_cast<double>(m_table.records.size()));
    exposeGauge(out, "kingcuptrail_served_callers", "Callers' addresses whose data centre is known from reports.", static_cast<double>(m_table.callers.size()));
    exposeGauge(out, "kingcuptrail_resets_waiting", "Resets to callers of a lost data centre that are still to be sent.", static_cast<double>(m_table.resets.size()));
}

}
