#pragma once

#include "libdecision/lease.h"
#include "libdecision/pausedetector.h"
#include "libdecision/routing.h"
#include "modelcontext.h"
#include "modelstore.h"

#include <vector>

namespace kingcuptrail {

/// A modelled balancer with its own, possibly stale view of members and configuration. Keeps no state for each flow.
class ModelBalancer {
public:
    ModelBalancer(ModelContext& context, ModelStore& store, std::size_t index);

    /// Starts the process with empty state.
    void start();
    void kill();

    /// Handles the loss of the link to an agent, for example when the agent's process terminates.
    void handleLinkLoss(std::size_t agent);

    bool isLinked(std::size_t agent) const { return m_members[agent].linked; }
    ConfigVersion configVersion() const { return m_config.version; }

private:
    struct Peer {
        bool isDialing = false;
        Millis lastReceivedAt = 0;
        bool announced = false;
        bool draining = false;
        LeaseView lease;
    };

    void receive(Endpoint from, Message message);
    void receivePacket(const Endpoint& from, FlowPacket packet);
    void receiveHeartbeat(const HeartbeatMessage& heartbeat, std::size_t agent);
    void route(FlowPacket packet);
    void routeModulo(FlowPacket packet);
    void apply(const RouteResult& result, FlowPacket packet, std::size_t firstMember);
    void recordFirstRanked(FlowPacket& packet, std::size_t chosen) const;
    void sendToAgent(std::size_t agent, Message message);
    void sendToAnyAgent(FlowPacket packet);
    void resetFlow(const FlowPacket& packet, RefusalReason reason);
    void applyTargets(const std::vector<TargetRecord>& targets);
    void applyConfig(const ConfigMessage& config);
    void sendConfig(std::size_t agent);
    void dial(std::size_t agent);
    void setLinked(std::size_t agent, bool linked);
    void updateStates();
    MemberState stateOf(std::size_t agent) const;
    void rebuildMemberIndex();
    void tick();
    void observeLeases();
    std::span<const Member> serviceMembers(std::size_t service) const;
    Endpoint self() const { return { EndpointKind::Balancer, m_index }; }
    void schedule(Micros delay, EventLoop::Action action);

    ModelContext& m_context;
    ModelStore& m_store;
    std::size_t m_index;
    /// Targets of all services in order; those of one service are contiguous.
    std::vector<Member> m_members;
    std::vector<Peer> m_peers;
    std::vector<std::size_t> m_firstOfService;
    MemberIndex m_memberIndex;
    ConfigMessage m_config;
    PauseDetector m_pauseDetector;
    PlaceOptions m_placing;
    std::uint64_t m_generation = 0;
};

}
