#pragma once

#include "flowtable.h"
#include "kingcuptraild/platformoutagelog.h"
#include "kingcuptraild/role.h"
#include "kingcuptraild/rolecontext.h"
#include "libdecision/configorder.h"
#include "libdecision/pausedetector.h"
#include "libdecision/reachability.h"
#include "libplatform/announcer.h"
#include "requestscheduler.h"

#include <asio/steady_timer.hpp>
#include <memory>

namespace kingcuptrail {

/// The role that runs beside an upstream: owns the flows that end there, and decides which requests the upstream gets and
/// when.
class Agent : public Role {
public:
    explicit Agent(const RoleContext& role);
    ~Agent() override;

    std::string statusFields() const override;
    void exposeMetrics(std::string& out) const override;
    void shutDown(std::function<void()> done) override;

private:
    class SupervisedAnnouncer;

    void handleConfig(const Config& current, const Config& previous);
    void handleAnnounced(const Presence& presence);
    void handleFenced(const OwnerToken& newer);
    void acceptBalancer(std::shared_ptr<Link> link);
    void handleFrame(PeerLink& from, const wire::Frame& frame);
    void handleLedgerQuery(PeerLink& from, const wire::LedgerQuery& query);
    void sendLedgerQuery(std::uint64_t query, const OwnerToken& holder, const std::string& key);
    void restartWarmUp(HttpError cause);
    void handleConnectAttempt(bool isConnected);
    void tryReturnToService();
    bool mustDropPackets();
    void applyState();
    void sendHeartbeats();
    void startTimers();
    void tick();
    void sweep();
    void drain();
    void finishDrain();
    Presence makePresence() const;
    LoadReport loadReport() const;
    MemberState state() const;
    bool isDrainingOrFenced() const { return m_isDraining || m_isFenced; }

    const RoleContext m_role;
    FlowTable m_flows;
    RequestScheduler m_requests;
    OwnerToken m_token;
    SupervisedAnnouncer* m_announcer = nullptr;
    /// The endpoint that this agent listens at for balancers, with the port that was bound.
    asio::ip::tcp::endpoint m_listenEndpoint;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_sweepTimer;
    DrainProgress m_drainProgress;
    DrainOptions m_drainOptions;
    std::function<void()> m_onDrained;
    Reachability m_reachability;
    EnumCounters<LinkError> m_closedLinks;
    PauseDetector m_pauseDetector;
    PlatformOutageLog m_outageLog;
    /// Version of the configuration that brought this data centre back, until every linked balancer uses it; otherwise 0.
    ConfigVersion m_returnVersion = 0;
    bool m_isDraining = false;
    bool m_isFenced = false;
    bool m_isOut = false;
};

}
