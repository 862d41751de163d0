#pragma once

#include "boundedtable.h"
#include "directory.h"
#include "pendingreports.h"
#include "routetable.h"

#include <deque>
#include <optional>
#include <string>

namespace kingcuptrail {

struct PendingRequestOptions {
    /// How long a record is kept when the timeout of its route is not known, in milliseconds. Callers wait for an
    /// answer to most requests for 1 to 4 s.
    Millis defaultTimeout = 4000;
    /// How long it is remembered which data centre served a caller, in milliseconds. Callers of a data centre that is lost
    /// arrive here within about two seconds, when routers have noticed it.
    Millis callerRetention = 10000;
    /// Resets sent in one tick of 20 ms. Their callers return at once, and 800 openings a second fit into a link of 10 Mbit/s.
    std::size_t resetsPerTick = 16;
    /// Resets that may wait: what is sent within five seconds, after which callers have given up.
    std::size_t maxResets = 4096;
};

/// Number of records and of caller addresses that a balancer keeps, each about 150 bytes.
inline constexpr std::size_t maxPendingRecords = 4096;
inline constexpr std::size_t maxServedCallers = 4096;

/// What became of one request in a report. Each value has its own counter.
enum class PendingReportOutcome : std::uint8_t {
    Recorded,
    /// The sender is not an agent in the directory.
    ForeignSender,
    /// The sender is an agent of the receiver's data centre, whose loss the receiver would not survive.
    OwnDataCentre,
    /// The sender's data centre counts as lost, so the report is older than the loss.
    LostDataCentre,
    /// The configuration has no route for the flow's address.
    UnknownAddress,
};

template <>
struct EnumNames<PendingReportOutcome> {
    static constexpr std::array<std::string_view, 5> names { "recorded", "foreignSender", "ownDataCentre", "lostDataCentre", "unknownAddress" };
};

/// A request of which an agent in another data centre has reported that it is unanswered.
struct PendingRecord {
    std::string dataCentre;
    std::uint32_t acknowledged = 0;
    Millis recordedAt = 0;
    /// The caller has given up by then.
    Millis endsAt = 0;
};

/// The data centre whose balancer served a caller, and when this was reported.
struct ServedCaller {
    std::string dataCentre;
    Millis servedAt = 0;
    /// Since when packets of this caller have arrived at this balancer without a gap of `callerRetention`, and when the last one
    /// did; nothing if none has.
    std::optional<Millis> seenHereSince;
    Millis seenHereAt = 0;
};

/// A flow whose caller is to be reset.
struct FlowReset {
    FlowKey flow;
    std::uint32_t acknowledged = 0;

    bool operator==(const FlowReset&) const = default;
};

struct WaitingReset {
    FlowReset reset;
    std::string dataCentre;
    Millis endsAt = 0;
};

/// What a balancer knows of requests that are unanswered in other data centres. It is needed when a data centre loses power
/// while callers wait in silence: no process there is left to reset them.
struct PendingRequestTable {
    PendingRequestOptions options;
    BoundedTable<FlowKey, PendingRecord> records { maxPendingRecords };
    BoundedTable<std::uint32_t, ServedCaller> callers { maxServedCallers };
    /// Resets that have not been sent yet, in the order of sending.
    std::deque<WaitingReset> resets;
    /// Records that were removed before their time because the table was full.
    std::uint64_t dropped = 0;
};

/// A report as it arrived, and what the receiver knows about its sender.
struct ReceivedReport {
    /// The directory entry of the sender; null if there is none.
    const PeerEntry* sender = nullptr;
    bool isFromLostDataCentre = false;
    std::span<const PendingRequest> requests;
};

/// The receiver's view of the deployment.
struct ReportReceiver {
    std::string_view dataCentre;
    const Directory& directory;
    const RouteTable& routes;
};

/// Records the requests of a report, or refuses them. Any host may send reports, so only those of agents of other data
/// centres count. Returns what became of each request.
std::vector<PendingReportOutcome> recordReport(PendingRequestTable&, const ReceivedReport&, const ReportReceiver&, Millis now);

/// The data centre whose balancer recently served the caller with this address, or nothing.
std::optional<std::string> servedBy(const PendingRequestTable&, std::uint32_t callerAddress, Millis now);

/// Records that a packet of a caller arrived here. Returns since when its packets have arrived, or nothing for an unknown
/// caller. One that came here while its data centre still answered does not show that the routers find no balancer there.
std::optional<Millis> recordSeenHere(PendingRequestTable&, std::uint32_t callerAddress, Millis now);

/// A flow in a balancer's own cache whose holder is in the lost data centre.
struct CachedFlow {
    FlowReset reset;
    Millis usedAt = 0;
};

/// What a loss affects: records and cached flows, and the flows of both that are to be reset.
struct LossExtent {
    std::size_t records = 0;
    std::size_t cachedFlows = 0;
    std::size_t resets = 0;
};

/// Prepares the resets of all flows whose agent is in a data centre that is lost: those in records and those in `cached`.
/// Reported requests come before cached flows, since their callers wait for an answer, and the newest of each first, since
/// they have the most time left. No flow is reset twice.
LossExtent beginResets(PendingRequestTable&, const std::string& dataCentre, std::span<const CachedFlow> cached, Millis now);

/// The resets to send in this tick. Their number is limited, so that the callers do not all come back at once over a small
/// link.
std::vector<FlowReset> takeResets(PendingRequestTable&, Millis now);

/// Drops the records and the waiting resets of a data centre that no longer counts as lost. Its flows may still be served,
/// or its agents are new processes.
void endResets(PendingRequestTable&, const std::string& dataCentre);

/// Removes records and callers whose time has ended; to be called about once a second.
void expirePendingRequests(PendingRequestTable&, Millis now);

}
