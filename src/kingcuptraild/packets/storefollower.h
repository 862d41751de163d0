#pragma once

#include "libplatform/deploymentadapter.h"
#include "libplatform/kindwatcher.h"
#include "libplatform/peerentryjson.h"
#include "peernetwork.h"

#include <map>
#include <set>

namespace kingcuptrail {

/// Kind of the agents' directory entries in the store.
constexpr const char* agentKind = "agent";

/// Follows the configuration, the outages and the agents' directory entries in the store and passes them to the process's
/// network of peers.
class StoreFollower {
public:
    StoreFollower(asio::io_context& context, const PlatformOptions& options, const DeploymentAdapter& adapter, PeerNetwork& network);

    /// Whether the configuration and outages passed on are those that the store holds now, as far as a pending watch shows.
    bool isCurrent() const { return m_routes.isCurrent() && m_outages.isCurrent() && m_livenessCheck.isCurrent(); }

    /// The last failure of the first watcher that has one, or None.
    PlatformError lastError() const;
    std::uint64_t callsMade() const;

private:
    KindWatcher::Handlers routesHandlers();
    KindWatcher::Handlers outagesHandlers();
    KindWatcher::Handlers agentsHandlers();
    KindWatcher::Handlers livenessHandlers();
    void updateRoutes(const ObjectList& objects);
    void updateOutages(const ObjectList& changes);
    void updateAgents(const ObjectList& objects);
    void logForeignObject(std::string_view kind, const PlatformObject& object, DecodeError error);
    void removeStaleListings(const std::map<std::string, ObjectVersion>& staleListings);
    void verifyOutages(const ObjectList& listed);
    void verifyRoutes(ObjectVersion storeVersion);
    void handleVerification(const std::optional<ObjectList>& changes, PlatformError reason);
    void recordStoreFailure();
    void recordStoreAnswer();

    const DeploymentAdapter& m_adapter;
    PeerNetwork& m_network;
    /// Data centres that are marked as out in the store, with the versions of their objects.
    std::map<std::string, ObjectVersion> m_outDataCentres;
    PlatformError m_loggedError = PlatformError::None;
    KindWatcher m_routes;
    KindWatcher m_outages;
    KindWatcher m_agents;
    /// Liveness check: a periodic call that the store answers at once. A pending watch cannot tell a store that no longer
    /// answers this host from one without changes. The answers also show whether the watches have missed a change: the answer to a
    /// watch may be lost while the store answers everything else.
    KindWatcher m_livenessCheck;
    bool m_isUnresponsive = false;
    /// Asks for the routes' changes without waiting for one.
    PlatformClient m_verificationClient;
    bool m_isVerifying = false;
    /// The version of the store up to which the routes are known to be complete, and the one that the last liveness check showed.
    ObjectVersion m_verifiedVersion = 0;
    ObjectVersion m_seenVersion = 0;
    /// Entries of processes that are gone, with their versions, as of the last listing.
    std::map<std::string, ObjectVersion> m_staleListings;
    /// Objects of other programs that were logged, with their versions.
    std::set<std::pair<std::string, ObjectVersion>> m_loggedObjects;
    PlatformClient m_removalClient;
};

}
