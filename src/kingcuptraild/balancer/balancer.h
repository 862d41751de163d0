#pragma once

#include "kingcuptraild/platformoutagelog.h"
#include "kingcuptraild/role.h"
#include "kingcuptraild/rolecontext.h"
#include "kingcuptraild/watchers.h"
#include "libdecision/pausedetector.h"
#include "libdecision/placing.h"
#include "libdecision/refusal.h"
#include "libdecision/routing.h"
#include "libruntime/metrics.h"
#include "membertable.h"

#include <asio/steady_timer.hpp>
#include <vector>

namespace kingcuptrail {

/// How a balancer handled a packet; each value has a counter.
enum class PacketRoute : std::uint8_t {
    ByToken,
    Placed,
    PlacedSecondChoice,
    Walked,
    Relayed,
    ToCaller,
    ResetSent,
    Dropped,
};

template <>
struct EnumNames<PacketRoute> {
    static constexpr std::array<std::string_view, 8> names {
        "byToken",
        "placed",
        "placedSecondChoice",
        "walked",
        "relayed",
        "toCaller",
        "resetSent",
        "dropped",
    };
};

/// The role of an entry host: forwards packets from the fabric to the agents that own their flows. Keeps no state per flow,
/// so that any balancer can handle any packet.
class Balancer : public Role {
public:
    explicit Balancer(const RoleContext& role);

    std::string statusFields() const override;
    void exposeMetrics(std::string& out) const override;
    void shutDown(std::function<void()> done) override;

private:
    void handleConfig(const Config& current, const Config& previous);
    void pushConfigChange();
    void handlePresence(const std::vector<Presence>& presences);
    bool needsLeaseCheck(const Presence& presence) const;
    void logMemberChanges(const std::vector<Presence>& presences) const;
    void reconcileConnections();
    ChildSpec connectionSpec(const Presence& presence);
    PeerLink::Handlers agentHandlers(const OwnerToken& token);

    void acceptFabricLink(std::shared_ptr<Link> link);
    void handleFabricPacket(const wire::Packet& packet, std::span<const std::uint8_t> raw);
    void handleAgentPacket(const wire::Packet& packet, std::span<const std::uint8_t> raw);
    void handleAgentFrame(const wire::Frame& frame, std::span<const std::uint8_t> raw);
    void routeOwned(const wire::Packet& packet, std::span<const std::uint8_t> raw, const OwnerToken& token);
    void placeNewFlow(const wire::Packet& packet, std::span<const std::uint8_t> raw);
    void routeByRanking(const wire::Packet& packet, std::span<const std::uint8_t> raw);
    void relayToAnyAgent(const wire::Packet& packet);
    void sendToMember(const OwnerToken& token, Bytes frame, PacketRoute route);
    void sendToCaller(Bytes frame, PacketRoute route);
    void refusePacket(const wire::Packet& packet, const RouteResult& result);
    void sendReset(const wire::Packet& packet, RefusalReason reason);

    void runPeriodicCheck();
    bool mustDropPackets();
    bool isOwnDataCentreOut() const;
    bool canRoute() const;
    void sendFabricGoodbye(wire::GoodbyeReason reason);
    void finishShutdown(std::function<void()> done);
    Millis currentHeartbeatInterval() const;

    const RoleContext m_role;
    std::uint64_t m_id;
    MemberTable m_members;
    std::vector<std::shared_ptr<PeerLink>> m_fabricLinks;
    Supervisor* m_linkSupervisor = nullptr;
    SupervisedPresenceWatcher* m_presenceWatcher = nullptr;
    PlatformOutageLog m_outageLog;
    asio::steady_timer m_shutdownTimer;
    asio::steady_timer m_periodicTimer;
    PauseDetector m_pauseDetector;
    PlaceOptions m_placeOptions;
    EnumCounters<PacketRoute> m_routes;
    EnumCounters<RefusalReason> m_resets;
    EnumCounters<LinkError> m_closedLinks;
    bool m_hasPresences = false;
    bool m_isShuttingDown = false;
};

}
