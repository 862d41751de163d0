#pragma once

#include "agentannouncement.h"
#include "kingcuptraild/role.h"
#include "kingcuptraild/rolecontext.h"
#include "libdecision/agentflows.h"
#include "libdecision/holdersearch.h"
#include "libdecision/opengate.h"
#include "libdecision/openqueue.h"
#include "libplatform/deploymentadapter.h"
#include "libruntime/metrics.h"
#include "peernetwork.h"
#include "storefollower.h"

namespace kingcuptrail {

/// What an agent did with a packet; one counter each.
enum class AgentPacketFate : std::uint8_t {
    Delivered,
    DeliveredToLearn,
    HandedBack,
    Refused,
    ToCaller,
    Returned,
    Malformed,
    Forged,
};

template <>
struct EnumNames<AgentPacketFate> {
    static constexpr std::array<std::string_view, 8> names { "delivered", "deliveredToLearn", "handedBack", "refused", "toCaller", "returned", "malformed", "forged" };
};

/// The role beside an upstream for flows of plain datagrams, and the only way to it: admits opening packets, knows which
/// flows its upstream holds, and carries the upstream's packets to the callers.
class PacketAgent : public Role {
public:
    PacketAgent(const RoleContext& role, const DeploymentAdapter& adapter);

    bool isStarted() const override { return m_isStarted; }
    std::string statusMembers() const override;
    void exposeMetrics(std::string& out) const override;
    void shutDown(std::function<void()> done) override;

private:
    /// A caller's packet that went to the upstream to learn whether it holds the flow, and who is to be told.
    struct Learning {
        std::uint32_t balancer = 0;
        Millis since = 0;
        /// The balancer still has the packet.
        bool isProbe = false;
        std::uint32_t acknowledged = 0;
    };

    /// A search among the agents of the own data centre, made for a balancer.
    struct NearSearch {
        std::uint32_t balancer = 0;
        HolderSearch search;
    };

    void handleFlowMessage(const PeerMessage& message, std::uint32_t sender);
    void handleOpen(const PeerMessage& message, std::uint32_t sender);
    void handleForward(const PeerMessage& message, std::uint32_t sender);
    void handleFind(const PeerMessage& message, std::uint32_t sender);
    void handleFindNear(const PeerMessage& message, std::uint32_t sender);
    void handleNeighbourAnswer(const PeerMessage& message, std::uint32_t sender);
    void finishNearSearch(const FlowKey& flow, wire::PeerKind answer, std::uint32_t holder = 0);
    void expireNearSearches(Millis now);
    OpenRefusal decide(const FlowKey& flow, ConfigVersion balancerVersion, bool needsFreeSlot, Millis now);
    void admit(const FlowKey& flow, std::span<const std::uint8_t> packet, std::uint32_t balancer, Millis waited);
    void letWait(const PeerMessage& message, std::uint32_t sender);
    void startQueueTimer();
    void admitWaiting();
    void refuse(const FlowKey& flow, std::span<const std::uint8_t> packet, std::uint32_t balancer, OpenRefusal refusal);
    void reply(std::uint32_t balancer, FlowMessage message);

    void handleUpstreamDatagram(std::span<std::uint8_t> packet);
    void startLearningTimer();
    void settleLearning();
    void handleReturned(const FlowKey& flow, std::span<std::uint8_t> packet, const PacketHead& head);
    void deliver(std::span<const std::uint8_t> packet, std::uint32_t mark);

    HttpResponse handleUpstreamCall(const HttpRequest& request);
    void handleReport(const UpstreamReport& report);
    void resetLostFlows();
    void handleOutages(const std::vector<std::string>& returned);
    void announceState();

    void turn();
    void tellLoad(Millis now);
    void followStoreIfAlone(Millis now);
    AgentLoad load() const;
    std::uint32_t indexOf(std::uint32_t balancer);
    bool isServingNow() const;

    const RoleContext m_role;
    const DeploymentAdapter& m_adapter;
    PeerNetwork m_network;
    AgentAnnouncement m_announcement;
    std::unique_ptr<StoreFollower> m_store;
    std::unique_ptr<DatagramSocket> m_outbound;
    bool m_isStarted = false;
    Delay m_turnTimer;
    Delay m_queueTimer;
    Delay m_learningTimer;
    Delay m_leaveTimer;
    Millis m_startedAt;
    Millis m_leavingSince = 0;

    AgentFlows m_flows;
    OpenGate m_gate;
    OpenQueue m_queue;
    std::unordered_map<FlowKey, Learning> m_learning;
    std::unordered_map<FlowKey, NearSearch> m_nearSearches;
    /// Hosts of balancers that have sent something; a packet's mark is an index into it, plus one.
    std::vector<std::uint32_t> m_balancers;
    std::unordered_map<std::uint32_t, Millis> m_heardFrom;
    float m_toldLoad = 0;
    float m_usualLoad = 0;
    Millis m_toldAt = 0;
    PeerEntry m_self;

    std::vector<std::uint8_t> m_scratch;
    EnumCounters<AgentPacketFate> m_fates;
    EnumCounters<OpenRefusal> m_refusals;
    EnumCounters<ReportNews> m_reports;
    EnumCounters<DecodeError> m_badCalls;
    std::uint64_t m_resetFlows = 0;
    LatencyHistogram m_waits;
};

}
