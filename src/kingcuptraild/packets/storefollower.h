#pragma once

#include "libplatform/deploymentadapter.h"
#include "libplatform/kindwatcher.h"
#include "libplatform/peerentryjson.h"
#include "peernetwork.h"

#include <map>

namespace kingcuptrail {

/// Kind of the agents' announcements in the store.
constexpr const char* agentKind = "agent";

/// Follows what the store holds of the deployment and hands it to the process's network of peers: configuration, outages,
/// and the announcements of agents.
class StoreFollower {
public:
    StoreFollower(asio::io_context& context, const PlatformOptions& options, const DeploymentAdapter& adapter, PeerNetwork& network);

    /// Whether what it told is what the store holds now, as far as a waiting watch can know.
    bool isCurrent() const { return m_routes.isCurrent() && m_outages.isCurrent() && m_pulse.isCurrent(); }

    /// The first of the watches' last failures, or None.
    PlatformError lastReason() const;
    std::uint64_t callsMade() const;

private:
    KindWatcher::Handlers routesHandlers();
    KindWatcher::Handlers outagesHandlers();
    KindWatcher::Handlers agentsHandlers();
    KindWatcher::Handlers pulseHandlers();
    void takeRoutes(const ObjectList& objects);
    void takeOutages(const ObjectList& changes);
    void takeAgents(const ObjectList& objects);
    void removeLeftBehind(const std::map<std::string, ObjectVersion>& leftBehind);
    void noteTrouble();
    void noteAnswer();

    const DeploymentAdapter& m_adapter;
    PeerNetwork& m_network;
    /// Data centres that have an entry among the outages.
    std::vector<std::string> m_out;
    PlatformError m_loggedTrouble = PlatformError::None;
    KindWatcher m_routes;
    KindWatcher m_outages;
    KindWatcher m_agents;
    /// A call that the store answers at once, made again and again: a store that turns this host away without a word answers
    /// nothing, and to those who wait for changes that looks like quiet.
    KindWatcher m_pulse;
    bool m_isSilent = false;
    /// Announcements of processes that are gone, as of the last listing.
    std::map<std::string, ObjectVersion> m_leftBehind;
    PlatformClient m_cleaner;
};

}
