#pragma once

#include "flowholders.h"
#include "kingcuptraild/role.h"
#include "kingcuptraild/rolecontext.h"
#include "libdecision/agentchoice.h"
#include "libplatform/deploymentadapter.h"
#include "libruntime/metrics.h"
#include "peernetwork.h"
#include "storefollower.h"

namespace kingcuptrail {

/// What a balancer did with a caller's packet; one counter each.
enum class PacketFate : std::uint8_t {
    Offered,
    Forwarded,
    Probed,
    Waiting,
    Malformed,
    Forged,
    NoView,
    SearchFull,
};

template <>
struct EnumNames<PacketFate> {
    static constexpr std::array<std::string_view, 8> names { "offered", "forwarded", "probed", "waiting", "malformed", "forged", "noView", "searchFull" };
};

/// Why a balancer reset a caller's flow; one counter each.
enum class ResetReason : std::uint8_t {
    NoRoute,
    NoAgent,
    RefusedByAll,
    HeldByNobody,
};

template <>
struct EnumNames<ResetReason> {
    static constexpr std::array<std::string_view, 4> names { "noRoute", "noAgent", "refusedByAll", "heldByNobody" };
};

/// The role of an entry host for flows of plain datagrams: offers opening packets to agents, and brings every other packet
/// to the agent that holds its flow. Keeps only a cache of who holds what; a flow that is not in it is asked for.
class PacketBalancer : public Role {
public:
    PacketBalancer(const RoleContext& role, const DeploymentAdapter& adapter);

    bool isStarted() const override { return m_isStarted; }
    std::string statusMembers() const override;
    void exposeMetrics(std::string& out) const override;
    void shutDown(std::function<void()> done) override;

private:
    void handleCallerDatagram(std::span<std::uint8_t> packet);
    void handleOpening(const FlowKey& flow, std::span<const std::uint8_t> packet);
    void offerToNext(const FlowKey& flow, Opening& opening);
    void offerTo(std::uint32_t agent, const FlowKey& flow, Opening& opening);
    void offerToWait(const FlowKey& flow, Opening& opening);
    void finishRefused(const FlowKey& flow, const Opening& opening, ResetReason reason);
    std::vector<std::uint32_t> agentsFor(const FlowKey& flow, const std::string& service) const;
    std::vector<std::uint32_t> holdersToAsk(const std::string* service) const;

    void handleFlowPacket(const FlowKey& flow, const PacketHead& head, std::span<const std::uint8_t> packet);
    void search(const FlowKey& flow, const PacketHead& head, std::span<const std::uint8_t> packet);
    void ask(const FlowKey& flow, WaitingSearch& waiting, std::span<const std::uint32_t> agents);
    void askDirectly(const FlowKey& flow, const WaitingSearch& waiting, std::span<const std::uint32_t> agents);
    void askSilentDirectly(Millis now);
    std::uint32_t speakerOf(const FlowKey& flow, std::span<const std::uint32_t> members) const;
    std::vector<std::uint32_t> awaitedIn(const HolderSearch& search, const std::string& dataCentre) const;
    void takeUnsure(const FlowKey& flow, WaitingSearch& waiting, std::span<const std::uint32_t> agents);
    void probe(const FlowKey& flow, WaitingSearch& waiting, std::span<const std::uint32_t> agents);
    void probeNext(const FlowKey& flow, WaitingSearch& waiting);
    bool mayProbedHold(const WaitingSearch& waiting, bool nearOnly) const;
    void handleNearAnswer(const PeerMessage& message, std::uint32_t sender);
    void settleSearch(const FlowKey& flow, SearchState state);
    bool canBeCertain() const;

    void handleFlowMessage(const PeerMessage& message, std::uint32_t sender);
    void handleAdmitted(const PeerMessage& message, std::uint32_t sender);
    void handleRefused(const PeerMessage& message, std::uint32_t sender);
    void handleHolderAnswer(const PeerMessage& message, std::uint32_t sender);
    void noteBusy(double isBusy);
    void noteLoad(const PeerMessage& message, std::uint32_t sender);

    void sendReset(const FlowKey& flow, std::uint32_t sequence, ResetReason reason);
    void turn();
    void offerUnansweredAgain(Millis now);
    void pingSilentAgents(Millis now);
    void sweepHolders(Millis now);
    bool isReady() const;
    void openIngress();
    void followStore(Millis now);
    std::size_t readerRank() const;

    const RoleContext m_role;
    const DeploymentAdapter& m_adapter;
    PeerNetwork m_network;
    std::unique_ptr<StoreFollower> m_store;
    /// Calls of followers that ended.
    std::uint64_t m_storeCalls = 0;
    std::unique_ptr<DatagramSocket> m_ingress;
    Millis m_startedAt;
    bool m_isStarted = false;
    Delay m_turnTimer;
    Delay m_leaveTimer;

    AgentChoiceOptions m_choice;
    /// Part of the last openings that found no free slot at their first agent.
    double m_busyShare = 0;
    std::unordered_map<std::uint32_t, AgentLoad> m_loads;
    std::unordered_map<FlowKey, Opening> m_openings;
    std::unordered_map<FlowKey, Holder> m_holders;
    std::unordered_map<FlowKey, WaitingSearch> m_searches;
    Millis m_pingedAt = 0;
    Millis m_sweptAt = 0;
    Millis m_lastCallerPacketAt = 0;
    Millis m_leavingSince = 0;
    bool m_isLeaving = false;

    EnumCounters<PacketFate> m_fates;
    EnumCounters<ResetReason> m_resets;
    EnumCounters<OpenRefusal> m_refusals;
    EnumCounters<SearchState> m_searchEnds;
    LatencyHistogram m_openingTimes;
};

}
