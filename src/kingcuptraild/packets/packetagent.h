#pragma once

#include "agentannouncement.h"
#include "connectionadmission.h"
#include "flowlearning.h"
#include "kingcuptraild/role.h"
#include "neighboursearches.h"
#include "pendingreporter.h"
#include "reporthandler.h"
#include "storefollower.h"
#include "upstreamconnectcheck.h"
#include "upstreamconnection.h"
#include "upstreamendwatch.h"
#include "upstreamloss.h"

namespace kingcuptrail {

/// The agent role for flows of plain datagrams. All packets to its upstream pass through it: it admits opening packets, tracks
/// which flows the upstream holds, and sends the upstream's packets to the callers.
class PacketAgent : public Role {
public:
    PacketAgent(const RoleContext& role, const DeploymentAdapter& adapter);

    bool isStarted() const override { return m_isStarted; }
    std::string statusFields() const override;
    void exposeMetrics(std::string& out) const override;
    void shutDown(std::function<void()> done) override;

private:
    void handleFlowMessage(const PeerMessage& message, std::uint32_t sender);
    void handleForward(const PeerMessage& message, std::uint32_t sender);
    void handleFind(const PeerMessage& message, std::uint32_t sender);

    void handleUpstreamDatagram(std::span<std::uint8_t> packet);
    void updateHealth(const UpstreamPacketEffect& effect, Millis now);
    void checkUnansweredRequests(Millis now);
    void handleReturned(const FlowKey& flow, std::span<std::uint8_t> packet, const PacketHeader& header);

    void checkUpstreamPresence(Millis now);
    void withdrawFormerEntry();
    const PeerEntry& withdraw(PeerEntry entry, std::function<void()> done);
    void handleOutages(const std::vector<std::string>& returned);
    void announceState();

    void tick();
    void sweepIdleFlows(Millis now);
    void sendLoad(Millis now);
    void followStoreIfIsolated(Millis now);
    bool isServingNow() const;
    bool isUpstreamGone() const;
    bool wasDraining() const;
    PeerEntry lastEntry() const;

    AgentState m_state;
    ConnectionAdmission m_admission;
    NeighbourSearches m_neighbours;
    FlowLearning m_learning;
    PendingReporter m_pendingReporter;
    AgentAnnouncement m_announcement;
    std::unique_ptr<StoreFollower> m_store;
    std::unique_ptr<DatagramSocket> m_outbound;
    UntrackedFlows m_untrackedFlows;
    UpstreamLoss m_loss;
    ReportHandler m_reportHandler;
    UpstreamConnectCheck m_connectCheck;
    UpstreamEndWatch m_endWatch;
    UpstreamConnection m_connection;
    bool m_isStarted = false;
    Delay m_tickTimer;
    Delay m_shutdownTimer;
    Millis m_shutdownStartedAt = 0;

    std::unordered_map<std::uint32_t, Millis> m_activeBalancers;
    float m_lastSentLoad = 0;
    Millis m_loadSentAt = 0;
};

}
