#pragma once

#include "kingcuptraild/role.h"
#include "kingcuptraild/rolecontext.h"
#include "kingcuptraild/troublelog.h"
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

    std::string statusMembers() const override;
    void exposeMetrics(std::string& out) const override;
    void shutDown(std::function<void()> done) override;

private:
    void handleConfig(const Config& current, const Config& previous);
    void pushNews();
    void handlePresence(const std::vector<Presence>& presences);
    bool isInDoubt(const Presence& presence) const;
    void logMembers(const std::vector<Presence>& presences) const;
    void reconcileConnections();
    ChildSpec connectionSpec(const Presence& presence);
    PeerLink::Handlers agentHandlers(const OwnerToken& token);

    void acceptFabric(std::shared_ptr<Link> link);
    void handleFabricPacket(const wire::Packet& packet, std::span<const std::uint8_t> raw);
    void handleAgentPacket(const wire::Packet& packet, std::span<const std::uint8_t> raw);
    void handleAgentFrame(const wire::Frame& frame, std::span<const std::uint8_t> raw);
    void routeOwned(const wire::Packet& packet, std::span<const std::uint8_t> raw, const OwnerToken& token);
    void place(const wire::Packet& packet, std::span<const std::uint8_t> raw);
    void walk(const wire::Packet& packet, std::span<const std::uint8_t> raw);
    void relay(const wire::Packet& packet);
    void sendToMember(const OwnerToken& token, Bytes frame, PacketRoute route);
    void sendToCaller(Bytes frame, PacketRoute route);
    void refusePacket(const wire::Packet& packet, const RouteResult& result);
    void sendReset(const wire::Packet& packet, RefusalReason reason);

    void noteRunningRegularly();
    bool isHeld();
    bool isOwnDataCentreOut() const;
    bool knowsTheWay() const;
    void leaveFabric(wire::GoodbyeReason reason);
    void finishLeaving(std::function<void()> done);
    Millis heartbeatPause() const;

    const RoleContext m_role;
    std::uint64_t m_id;
    MemberTable m_members;
    std::vector<std::shared_ptr<PeerLink>> m_fabrics;
    Supervisor* m_links = nullptr;
    PresenceFollower* m_presence = nullptr;
    TroubleLog m_trouble;
    asio::steady_timer m_leaveTimer;
    asio::steady_timer m_runningTimer;
    PauseDetector m_pause;
    PlaceOptions m_placeOptions;
    EnumCounters<PacketRoute> m_routes;
    EnumCounters<RefusalReason> m_resets;
    EnumCounters<LinkError> m_closedLinks;
    bool m_hasHeardPresences = false;
    bool m_isLeaving = false;
};

}
