#pragma once

#include "connectiondispatcher.h"
#include "datacentremonitor.h"
#include "holderfinder.h"
#include "kingcuptraild/role.h"
#include "lostcallers.h"
#include "peerlookup.h"
#include "storefollower.h"

namespace kingcuptrail {

/// The balancer role of an entry host for flows of plain datagrams: offers opening packets to agents, and forwards every other
/// packet to the agent that holds its flow. It keeps only a cache of flow holders and queries the agents for other flows.
class PacketBalancer : public Role {
public:
    PacketBalancer(const RoleContext& role, const DeploymentAdapter& adapter);

    bool isStarted() const override { return m_isStarted; }
    std::string statusFields() const override;
    void exposeMetrics(std::string& out) const override;
    void shutDown(std::function<void()> done) override;

private:
    void handleCallerDatagram(std::span<std::uint8_t> packet);
    void handleFlowPacket(const FlowKey& flow, const PacketHeader& header, std::span<const std::uint8_t> packet);
    void handleFlowMessage(const PeerMessage& message, std::uint32_t sender);
    /// Called once for each change of the state of another data centre, from the periodic work.
    void handleDataCentreChange(const DataCentreChange& change);
    void tick();
    void pingUnresponsiveAgents(Millis now);
    void expireCachedHolders(Millis now);
    bool isReady() const;
    void openIngress();
    void followStore(Millis now);
    Millis firstStoreReadDelay();
    std::size_t readerRank() const;

    BalancerState m_state;
    ConnectionDispatcher m_dispatcher;
    HolderFinder m_holderFinder;
    DataCentreMonitor m_dataCentreMonitor;
    LostCallers m_lostCallers;
    PeerLookup m_lookup;
    std::unique_ptr<StoreFollower> m_store;
    /// Calls made by store followers that have ended.
    std::uint64_t m_storeCalls = 0;
    std::unique_ptr<DatagramSocket> m_ingress;
    bool m_isStarted = false;
    Delay m_tickTimer;
    Delay m_shutdownTimer;
    Millis m_lastPingAt = 0;
    std::size_t m_pingRound = 0;
    Millis m_lastSweepAt = 0;
    Millis m_lastCallerPacketAt = 0;
    Millis m_shutdownStartedAt = 0;
    bool m_isShuttingDown = false;
};

}
