#pragma once

#include "connectiondispatcher.h"
#include "holderfinder.h"
#include "kingcuptraild/role.h"
#include "peerlookup.h"
#include "storefollower.h"

namespace kingcuptrail {

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
    void handleFlowPacket(const FlowKey& flow, const PacketHead& head, std::span<const std::uint8_t> packet);
    void handleFlowMessage(const PeerMessage& message, std::uint32_t sender);
    void turn();
    void pingSilentAgents(Millis now);
    std::size_t countAgents() const;
    void sweepHolders(Millis now);
    bool isReady() const;
    void openIngress();
    void followStore(Millis now);
    Millis firstReadPatience();
    std::size_t readerRank() const;

    BalancerState m_state;
    ConnectionDispatcher m_openings;
    HolderFinder m_finder;
    PeerLookup m_lookup;
    std::unique_ptr<StoreFollower> m_store;
    /// Calls of followers that ended.
    std::uint64_t m_storeCalls = 0;
    std::unique_ptr<DatagramSocket> m_ingress;
    bool m_isStarted = false;
    Delay m_turnTimer;
    Delay m_leaveTimer;
    Millis m_pingedAt = 0;
    std::size_t m_pingRound = 0;
    Millis m_sweptAt = 0;
    Millis m_lastCallerPacketAt = 0;
    Millis m_leavingSince = 0;
    bool m_isLeaving = false;
};

}
