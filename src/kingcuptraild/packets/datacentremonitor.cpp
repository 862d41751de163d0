#include "datacentremonitor.h"

#include "libruntime/events.h"

namespace kingcuptrail {

namespace {

    Event eventOf(DataCentreState state)
    {
        switch (state) {
        case DataCentreState::Silent:
            return Event::DataCentreSilent;
        case DataCentreState::Lost:
            return Event::DataCentreLost;
        case DataCentreState::Reachable:
            break;
        }
        return Event::DataCentreHeard;
    }

    void logChange(const DataCentreChange& change, std::size_t tolerated)
    {
        logEvent(eventOf(change.to), { { "dataCentre", change.dataCentre }, { "previous", nameOf(change.from) }, { "cause", nameOf(change.cause) }, { "sinceHeard", static_cast<std::uint64_t>(change.sinceHeard) }, { "pings", change.pings }, { "pingedAgents", change.pingedAgents }, { "reroutedCallers", change.reroutedCallers }, { "tolerated", tolerated } });
    }

}

DataCentreMonitor::DataCentreMonitor(BalancerState& state)
    : m_state(state)
    , m_random(std::random_device {}())
{
    m_state.dataCentreHealth.options.toleratedLosses = state.role.settings.packets.toleratedDataCentreLosses;
    m_state.dataCentreHealth.ownDataCentre = state.role.settings.dataCentre;
}

void DataCentreMonitor::handleMessage(std::uint32_t sender)
{
    if (const PeerEntry* entry = findByAddress(m_state.network.directory(), sender))
        recordHeard(m_state.dataCentreHealth, entry->dataCentre, m_state.role.clock.now());
}

std::vector<DataCentreChange> DataCentreMonitor::tick(Millis now)
{
    if (!isEnabled())
        return {};
    if (m_state.network.mayBeStale())
        resetAll(m_state.dataCentreHealth, now);
    sendPings(now);
    std::vector<DataCentreChange> changes = updateStates(m_state.dataCentreHealth, now);
    for (const DataCentreChange& change : changes) {
        m_changes.increment(change.to);
        logChange(change, m_state.dataCentreHealth.options.toleratedLosses);
    }
    return changes;
}

// The pings are not recorded as queries to agents: one that is unanswered shows nothing about its single agent, and an answer
// is an ordinary load report.
void DataCentreMonitor::sendPings(Millis now)
{
    const std::vector<std::uint32_t> agents = pingsDue(m_state.dataCentreHealth, m_state.network.directory(), m_random(), now);
    if (agents.empty())
        return;
    m_pings += agents.size();
    m_state.network.sendToAll(agents, { .kind = wire::PeerKind::Ping, .configVersion = m_state.network.routes().version });
    for (const std::uint32_t agent : agents) {
        if (const PeerEntry* entry = findByAddress(m_state.network.directory(), agent))
            recordPing(m_state.dataCentreHealth, entry->dataCentre, agent, now);
    }
}

void DataCentreMonitor::exposeMetrics(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_data_centre_changes_total", "Changes of the state of other data centres, by the new state.", m_changes);
    exposeCounter(out, "kingcuptrail_data_centre_pings_total", "Pings to agents of data centres from which nothing was received.", m_pings);
    std::vector<std::pair<std::string, double>> states;
    for (const auto& [name, record] : m_state.dataCentreHealth.dataCentres) {
        if (name != m_state.dataCentreHealth.ownDataCentre)
            states.emplace_back(name, static_cast<double>(record.state));
    }
    exposeGauges(out, "kingcuptrail_data_centre_state", "State of other data centres: 0 reachable, 1 silent, 2 lost.", "dataCentre", states);
}

}
