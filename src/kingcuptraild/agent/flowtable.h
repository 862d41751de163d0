#pragma once

#include "kingcuptraild/peerlink.h"
#include "libdecision/closedflows.h"
#include "libdecision/drain.h"
#include "libdecision/forwarding.h"
#include "libdecision/refusal.h"
#include "libprotocol/flowendpoint.h"
#include "libruntime/logthrottle.h"
#include "libruntime/metrics.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace kingcuptrail {

struct FlowTableOptions {
    /// Limit for the number of flows; further ones are refused, so that the memory for one upstream stays bounded.
    std::size_t flowLimit = 20000;
    /// How long a flow may get no packet from its caller before it is ended, in milliseconds. Callers probe idle flows, so a
    /// longer silence means that the caller is gone or that the network no longer delivers the packets of the flow.
    Millis flowSilence = 90000;
    /// How long an opened flow may get no further packet before it is ended, in milliseconds. Such a flow comes from a
    /// duplicated open, and its caller uses the flow that another agent opened.
    Millis unconfirmedLimit = 15000;
};

/// How a flow ended at this agent; each value has a counter.
enum class FlowEnd : std::uint8_t {
    ClosedByCaller,
    Silent,
    Unconfirmed,
    GivenUpDataCentreOut,
    ClosedDraining,
    ProtocolError,
};

template <>
struct EnumNames<FlowEnd> {
    static constexpr std::array<std::string_view, 6> names {
        "closedByCaller",
        "silent",
        "unconfirmed",
        "givenUpDataCentreOut",
        "closedDraining",
        "protocolError",
    };
};

/// Holds the flows that this agent owns. Decides on each packet, keeps the segments of both directions in order, and answers
/// over any available balancer.
class FlowTable {
public:
    struct Hooks {
        /// Handles a message; false when its kind is not one that a caller may send.
        std::function<bool(FlowId, const wire::Message&)> onMessage;
        /// Called when a flow that refused a message has space in its send queue again.
        std::function<void(FlowId)> onWritable;
        std::function<void(FlowId)> onEnded;
        /// Whether to drop packets, since this process was paused and has not read all waiting messages yet.
        std::function<bool()> mustDropPackets;
        /// Whether requests of the flow are in progress.
        std::function<bool(FlowId)> hasRequests;
    };

    FlowTable(const Clock& clock, const FlowTableOptions& options, Hooks hooks);

    void setOwnToken(const OwnerToken& token) { m_token = token; }
    /// Sets the address of this agent's service; 0 while no configuration names it.
    void setService(ServiceAddress address) { m_service = address; }
    void setFlowLimit(std::size_t limit) { m_options.flowLimit = limit; }
    void setDraining(bool isDraining) { m_isDraining = isDraining; }
    /// Ends every flow when the value becomes true.
    void setDataCentreOut(bool isOut);

    void addLink(std::shared_ptr<PeerLink> link);
    void removeLink(const PeerLink& link);

    void handlePacket(const std::shared_ptr<PeerLink>& from, const wire::Packet& packet);

    /// Queues a message on a flow; false when its send queue is full. A message for an unknown flow is discarded.
    bool send(FlowId flow, Bytes message);

    /// Sends a frame over any usable balancer link; false when there is none.
    bool sendOverAnyLink(Bytes frame);

    /// Sends the segments that are due, new and resent ones.
    void tick();
    /// Ends flows that are silent or were never confirmed.
    void sweep();
    /// Closes the flows that may be closed while this agent drains, and returns whether the drain is complete.
    DrainStep drainStep(DrainProgress& progress, const DrainOptions& options);
    /// Ends all remaining flows when a shutdown has reached its time limit.
    void closeAll(RefusalReason reason);

    std::size_t flowCount() const { return m_flows.size(); }
    std::size_t linkCount() const { return m_links.size(); }
    const std::vector<std::shared_ptr<PeerLink>>& links() const { return m_links; }
    void exposeMetrics(std::string& out) const;

private:
    struct Flow {
        FlowId id = 0;
        std::uint64_t source = 0;
        ServiceAddress service = 0;
        FlowEndpoint endpoint;
        Millis openedAt = 0;
        Millis lastPacketAt = 0;
        Millis idleSince = 0;
        std::weak_ptr<PeerLink> returnLink;
        bool isConfirmed = false;
        bool ackPending = false;
        bool isSendBlocked = false;
    };

    PacketFacts factsOf(const wire::Packet& packet, const Flow* flow) const;
    void open(const std::shared_ptr<PeerLink>& from, const wire::Packet& packet);
    void deliver(const std::shared_ptr<PeerLink>& from, Flow& flow, const wire::Packet& packet);
    void deliverMessages(FlowId id);
    void forwardToBalancer(const std::shared_ptr<PeerLink>& from, const wire::Packet& packet, bool markVisited);
    void replyReset(const wire::Packet& packet, RefusalReason reason, Millis retryAfter);
    void sendOpened(Flow& flow);
    void flush(Flow& flow);
    void sendOnFlow(Flow& flow, wire::PacketT packet);
    void endFlow(FlowId id, FlowEnd end, RefusalReason resetReason);
    std::shared_ptr<PeerLink> linkFor(const Flow& flow);
    std::shared_ptr<PeerLink> anyLink();
    Flow* find(FlowId id);

    const Clock& m_clock;
    FlowTableOptions m_options;
    Hooks m_hooks;
    OwnerToken m_token;
    ServiceAddress m_service = 0;
    bool m_isDraining = false;
    bool m_isDataCentreOut = false;
    std::unordered_map<FlowId, Flow> m_flows;
    std::unordered_set<FlowId> m_active;
    std::vector<std::shared_ptr<PeerLink>> m_links;
    std::size_t m_nextLink = 0;
    ClosedFlows m_closed;
    ClosedFlowOptions m_closedOptions;
    Millis m_lastClosedAt = 0;
    EnumCounters<PacketAction> m_actions;
    EnumCounters<FlowEnd> m_ends;
    EnumCounters<RefusalReason> m_resets;
    std::uint64_t m_opened = 0;
    std::uint64_t m_wrongService = 0;
    LogThrottle m_wrongServiceLog { 1000 };
};

}
