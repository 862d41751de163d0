#pragma once

#include "flowtable.h"
#include "kingcuptraild/role.h"
#include "kingcuptraild/rolecontext.h"
#include "kingcuptraild/troublelog.h"
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

    std::string statusMembers() const override;
    void exposeMetrics(std::string& out) const override;
    void shutDown(std::function<void()> done) override;

private:
    class AnnouncerChild;

    void handleConfig(const Config& current, const Config& previous);
    void handleAnnounced(const Presence& presence);
    void handleFenced(const OwnerToken& newer);
    void acceptBalancer(std::shared_ptr<Link> link);
    void handleFrame(PeerLink& from, const wire::Frame& frame);
    void answerQuery(PeerLink& from, const wire::LedgerQuery& query);
    void askLedger(std::uint64_t query, const OwnerToken& holder, const std::string& key);
    void restartWarmUp(HttpError seen);
    void handleContact(bool isConnected);
    void considerReturn();
    bool isHeld();
    void applyState();
    void beatNow();
    void startTimers();
    void tick();
    void sweep();
    void drain();
    void finishDrain();
    Presence wantedPresence() const;
    LoadReport report() const;
    MemberState state() const;
    bool isLeaving() const { return m_isDraining || m_isFenced; }

    const RoleContext m_role;
    FlowTable m_flows;
    RequestScheduler m_requests;
    OwnerToken m_token;
    AnnouncerChild* m_announcer = nullptr;
    /// The endpoint that this agent listens at for balancers, with the port that was bound.
    asio::ip::tcp::endpoint m_listenAt;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_sweepTimer;
    DrainProgress m_drainProgress;
    DrainOptions m_drainOptions;
    std::function<void()> m_onDrained;
    Reachability m_reachability;
    EnumCounters<LinkError> m_closedLinks;
    PauseDetector m_pause;
    TroubleLog m_trouble;
    /// Version of the configuration that brought this data centre back, until every linked balancer uses it; otherwise 0.
    ConfigVersion m_returnVersion = 0;
    bool m_isDraining = false;
    bool m_isFenced = false;
    bool m_isOut = false;
};

}
