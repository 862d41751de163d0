#pragma once

#include "enumnames.h"
#include "openingschedule.h"
#include "routetable.h"
#include "servicetime.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace kingcuptrail {

/// Admission of large uploads at a balancer with a small link. Callers send a whole window of packets at once, and a few such
/// windows at the same time overflow a link of 10 Mbit/s: small requests then wait behind them or are lost. A flow is bulk when
/// it carries more than one window within a second. A route is bulk when at least half of its recent flows were. Openings of
/// bulk routes are admitted only while the link has room; otherwise they wait for a short time or are refused.
struct BulkAdmissionOptions {
    /// What the link carries, in Mbit/s (`packets.linkMegabits`). Without the setting it is 1,000, so that nothing is limited.
    double linkMegabits = 1000;
    /// Links of this rate or more are not limited, in Mbit/s. A window takes 1.6 ms there, and 31 of them fit in a fifth of a
    /// latency target of 250 ms.
    double unlimitedMegabits = 100;
    /// Bytes of a full window: callers have at most 16 packets in flight, each with up to 1,200 bytes of data and a header
    /// of 36.
    double windowBytes = 16.0 * 1236;
    /// A flow that carries more than a window within this time is bulk, in milliseconds. Long enough for the retransmissions
    /// of a window (200 and 400 ms) on a full link.
    Millis bulkSpan = 1000;
    /// Bulk flows may delay a small packet by this fraction of the shortest latency target. The rest is needed for the
    /// round trips, the wait at the agent and the work itself.
    double delayShare = 0.2;
    /// No bulk opening is admitted while more than this fraction of the link is in use. The remaining tenth is room for the
    /// small packets between two measurements.
    double fullShare = 0.9;
    /// The measured rate decays over this time, in milliseconds: the caller's first retransmission, so that a loss is still
    /// in the measurement when its packets come again.
    Millis rateSpan = 200;
    /// A bulk flow without data for longer is no longer active, in milliseconds: the caller's first retransmission (200), a
    /// round trip (6) and the queueing delay that bulk flows may cause at a target of 250 ms (50), rounded up.
    Millis dataGap = 260;
    /// How long an opening may wait, as a fraction of its route's latency target. After that a try through another balancer
    /// still has three quarters of the target.
    double waitShare = 0.25;
    /// The maximum number of waiting openings. At 99 Mbit/s an upload of 40,000 bytes takes 3.3 ms, so that about 60 are
    /// admitted within a quarter of a target of 800 ms; slower links admit fewer.
    std::size_t maxWaiting = 64;
    /// A flow without packets for longer is forgotten, in milliseconds: the longest time between two retransmissions of a
    /// caller. Callers give up openings sooner (1,400).
    Millis idleLimit = 1600;
    /// How often idle flows are removed, in milliseconds. Their exact number does not matter below `maxFlows`.
    Millis sweepInterval = 1000;
    /// The maximum number of observed flows, about 100 bytes each. 1,700 flows per second, each observed for `idleLimit` and
    /// `sweepInterval` at most, which is more than a balancer with a tenth of a core serves.
    std::size_t maxFlows = 4096;
    /// The maximum number of routes with counts; the one whose counts were halved least recently is replaced. Deployments have
    /// fewer than ten.
    std::size_t maxRoutes = 64;
    /// Flows of a route that must be known before it is judged. An end user's request and its two repetitions are three
    /// flows, and prove nothing about the others.
    double minRouteFlows = 4;
    /// A route is bulk when at least this fraction of its recent flows were.
    double bulkRouteShare = 0.5;
    /// A route's counts are halved when this time has passed and enough flows remain for a judgement, in milliseconds. Five
    /// uploads a second leave 10 to 20 flows, and a route that changes is judged by its new flows after about this time.
    Millis halvingInterval = 2000;
    /// Weight of each new observation in the mean time that a bulk flow keeps its place. Eight are a second of uploads at a
    /// balancer with a 10 Mbit/s link under load.
    double timeWeight = 0.125;
};

/// As what a flow was last counted in the totals of its route.
enum class CountedAs : std::uint8_t {
    Nothing,
    Small,
    Bulk,
};

/// A flow that has sent data lately, or a bulk flow whose opening was admitted.
struct ObservedFlow {
    /// When its first data arrived; 0 before.
    Millis dataSince = 0;
    Millis lastDataAt = 0;
    /// Start of the current half of `bulkSpan`, and the bytes of the current and of the preceding half.
    Millis halfSince = 0;
    double halfBytes = 0;
    double precedingBytes = 0;
    /// Since when it counts as active.
    Millis activeSince = 0;
    bool isActive = false;
    /// It has carried more than a window within `bulkSpan`.
    bool isBulk = false;
    /// Its opening was admitted as one of a bulk route, and no data has arrived yet.
    bool isExpected = false;
    bool hasEnded = false;
    /// Its opening was refused after it had waited.
    bool wasRefused = false;
    CountedAs countedAs = CountedAs::Nothing;
};

/// Recent flows of the route to one address. The counts are halved regularly, hence fractions.
struct RouteFlows {
    PacketEndpoint address;
    double flows = 0;
    double bulkFlows = 0;
    Millis halvedAt = 0;
};

/// An opening of a bulk route that waits for room on the link.
struct WaitingBulkOpening {
    FlowKey flow;
    Millis since = 0;
    /// When it is refused.
    Millis until = 0;
};

/// What a decision was based on, for log events.
struct BulkInputs {
    std::size_t active = 0;
    /// How many bulk flows may be active.
    std::size_t limit = 0;
    std::size_t waiting = 0;
    /// The measured rate of received bytes, in Mbit/s.
    double receivedMegabits = 0;
    /// How long an opening at the end of the queue is expected to wait, and how long it may, in milliseconds.
    double expectedWait = 0;
    Millis maxWait = 0;
};

/// What to do with an opening.
enum class BulkDecision : std::uint8_t {
    Admit,
    /// The opening waits. takeAdmitted() or takeExpired() returns it later.
    Wait,
    Refuse,
};

template <>
struct EnumNames<BulkDecision> {
    static constexpr std::array<std::string_view, 3> names { "admit", "wait", "refuse" };
};

/// One balancer's state for bulk admission. It is not shared and is lost with the process.
struct BulkAdmission {
    BulkAdmissionOptions options;
    std::unordered_map<FlowKey, ObservedFlow> flows;
    /// The bulk flows that are active.
    std::vector<FlowKey> active;
    /// First come, first served.
    std::deque<WaitingBulkOpening> waiting;
    std::vector<RouteFlows> routes;
    /// How long bulk flows keep their place, in milliseconds.
    ServiceTime placeTime;
    /// Received bytes, decaying over `rateSpan`, as of `receivedAt`.
    double receivedBytes = 0;
    Millis receivedAt = 0;
    Millis sweptAt = 0;
    /// The inputs of the last decision to let an opening wait or to refuse it.
    BulkInputs lastInputs;
};

/// Whether the link is so small that bulk flows are limited. Otherwise the functions that decide and record return at once.
inline bool isLimiting(const BulkAdmission& admission)
{
    return admission.options.linkMegabits > 0 && admission.options.linkMegabits < admission.options.unlimitedMegabits;
}

/// Decides about an opening packet or a copy of one. Openings of routes that are not bulk, copies of admitted openings and all
/// openings without a configuration or a latency target are admitted. Guards against many uploads at once on a small link, which
/// delay small requests beyond their targets.
BulkDecision decideBulkOpening(BulkAdmission&, const RouteTable&, const FlowKey&, Millis now);

/// What a decision about another opening of the flow's route would be based on now.
BulkInputs bulkInputs(const BulkAdmission&, const RouteTable&, const FlowKey&, Millis now);

/// Records any packet that a caller sent, before the decision about it. `bytes` is its size with the header. Flows that began
/// at another balancer are recognised by their data.
void recordCallerPacket(BulkAdmission&, const FlowKey&, const PacketHeader&, std::size_t bytes, Millis now);

/// Records that a flow was reset, so that it no longer counts as active.
void recordFlowReset(BulkAdmission&, const FlowKey&, Millis now);

/// Removes the opening of a flow from the queue. Returns whether it was there.
bool removeWaiting(BulkAdmission&, const FlowKey&);

/// Ends the activity of bulk flows whose data has stopped, so that callers that left without a packet keep no place, and
/// forgets idle flows; to be called several times a second.
void updateActivity(BulkAdmission&, Millis now);

/// Removes the waiting openings that are admitted now and returns them in the order of their arrival.
std::vector<FlowKey> takeAdmitted(BulkAdmission&, const RouteTable&, Millis now);

/// Removes the waiting openings whose time is over and returns them; they have to be refused. Copies that cross the reset are
/// refused as well for `dataGap`.
std::vector<FlowKey> takeExpired(BulkAdmission&, Millis now);

/// Whether the flow has carried more than a window within `bulkSpan` and has not paused since. The last packets of a flow that
/// has ended belong to it too.
bool isBulkFlow(const BulkAdmission&, const FlowKey&);

/// Whether at least `minRouteFlows` flows to `address` are known and at least half of the recent ones were bulk.
bool isBulkRoute(const BulkAdmission&, const PacketEndpoint& address);

/// How many bulk flows may be active at the same time; 0 when no route has a latency target.
std::size_t bulkFlowLimit(const BulkAdmission&, const RouteTable&);

/// The measured rate of received bytes as a fraction of the link.
double linkUse(const BulkAdmission&, Millis now);

}
