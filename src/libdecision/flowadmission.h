#pragma once

#include "enumnames.h"
#include "routetable.h"
#include "upstreamevidence.h"

#include <deque>
#include <optional>
#include <string>

namespace kingcuptrail {

/// Why an agent does not admit an opening packet.
enum class OpeningRefusal : std::uint8_t {
    None,
    /// No report of a running upstream has arrived, or none for too long.
    NoUpstream,
    UpstreamDraining,
    /// The agent's own process is shutting down.
    AgentLeaving,
    DataCentreOut,
    /// The process was paused and has not yet received what changed meanwhile.
    ViewInDoubt,
    /// No configuration is known.
    NoConfiguration,
    /// The opening is for another service than this upstream's, or the configuration in force does not route its address to it.
    WrongService,
    /// The upstream is cold and has reached its admission rate.
    Cold,
    /// The upstream holds as many flows as its limit allows.
    FlowLimit,
    /// The upstream has so much work that the opening would have to wait, or the queue is full.
    Busy,
    /// The upstream returned the packet.
    Returned,
    /// The opening waited at the agent until its caller gave up.
    WaitedTooLong,
    /// The upstream accepts flows and resets their requests.
    UpstreamFailing,
};

template <>
struct EnumNames<OpeningRefusal> {
    static constexpr std::array<std::string_view, 14> names {
        "none",
        "noUpstream",
        "upstreamDraining",
        "agentLeaving",
        "dataCentreOut",
        "viewInDoubt",
        "noConfiguration",
        "wrongService",
        "cold",
        "flowLimit",
        "busy",
        "returned",
        "waitedTooLong",
        "upstreamFailing",
    };
};

/// Whether the reason may disappear while the opening waits. A process that has just started receives the configuration
/// within a few round trips, and also the next heartbeat of its upstream.
bool isTransient(OpeningRefusal refusal);

/// The contents of an upstream's heartbeat.
struct UpstreamReport {
    std::string id;
    std::string service;
    std::string dataCentre;
    /// Unix milliseconds of the upstream's start, by its own clock. Orders the processes that report for one address.
    std::uint64_t born = 0;
    /// Increases with each report of one process.
    std::uint64_t sequence = 0;
    std::uint32_t slots = 1;
    bool isDraining = false;
    /// How much longer the upstream stays cold, in milliseconds.
    Millis coldLeft = 0;
};

struct FlowAdmissionOptions {
    /// Requests per slot that may run or wait at the upstream before openings wait at the agent instead. With two, the next
    /// request is already there when a slot becomes free, so that no slot is idle for a round trip to the caller.
    double workPerSlot = 2.0;
    /// The window in which a cold upstream's openings are counted, in milliseconds. A second plus a margin for an opening
    /// that is still on its way to the upstream.
    Millis coldWindow = 1150;
    /// How long reports of a process that has ended or was replaced may arrive late, in milliseconds: four retransmissions of TCP.
    /// One that reports later is running, and its connections were refused for another reason.
    Millis lateReportLimit = 3000;
    /// How long a process of another service claims the address at least before it is believed, in milliseconds: enough for answers to
    /// the copies by which the flows of the known one are verified.
    Millis minClaimTime = 300;
};

/// A process that has reported for the upstream until another one did. An upstream may keep its id when it starts again.
struct ReplacedProcess {
    std::string id;
    std::uint64_t born = 0;
    Millis replacedAt = 0;
};

/// The number of replaced processes that are remembered.
inline constexpr std::size_t maxReplacedProcesses = 8;

/// Reports of one process that were not taken and follow each other as those of a running process do.
struct ReportSeries {
    std::uint64_t sequence = 0;
    Millis since = 0;
    Millis lastAt = 0;
    std::uint32_t reports = 0;
};

/// The least length of a series that shows that its sender runs. It also has to last: reports that a partition has delayed arrive
/// together.
inline constexpr std::uint32_t minRunningReports = 3;

/// A process that has reported for the upstream, and whose report was not taken.
struct AddressClaim {
    std::string id;
    std::uint64_t born = 0;
    ReportSeries series;
    /// It is of another service than the known process, which has not reported since.
    bool isContradiction = false;
};

/// The number of claims that are remembered.
inline constexpr std::size_t maxAddressClaims = 8;

/// A process that was replaced by the report of another one without any sign that it had ended.
struct DisplacedProcess {
    UpstreamReport report;
    Millis reportedAt = 0;
    Millis displacedAt = 0;
    Millis coldUntil = 0;
    /// Its reports since then.
    ReportSeries series;
};

/// An agent's state for deciding whether its upstream gets an opening packet.
struct FlowAdmission {
    FlowAdmissionOptions options;
    std::optional<UpstreamReport> upstream;
    /// The processes before it, the latest last. Start times alone do not order processes that started in the same millisecond or
    /// whose host's clock was set back in between.
    std::deque<ReplacedProcess> replaced;
    Millis reportedAt = 0;
    /// Until when the process that sent the last report is known to be the one at its address.
    UpstreamEvidence evidence;
    /// The latest processes whose reports were not taken. While one of them contradicts the known process and no packet proves that
    /// this one runs, it is not known which of them is the one at the address.
    std::deque<AddressClaim> claims;
    /// When the first and the last of a series of contradicting reports arrived.
    std::optional<Millis> contestedSince;
    Millis contestedAt = 0;
    /// Set until it is certain that the known process has replaced the one before it.
    std::optional<DisplacedProcess> displaced;
    /// A report was found to be of no process at the address. From then on the known process's own reports outweigh those of others.
    bool hasFoundFalseReport = false;
    /// When the upstream's process was found to have ended; empty once a report shows that a process is running.
    std::optional<Millis> endedAt;
    /// Until when the upstream is cold, by this process's clock.
    Millis coldUntil = 0;
    /// When openings were admitted while the upstream was cold.
    std::deque<Millis> coldOpenings;
    bool isLeaving = false;
    bool mayViewBeStale = false;
};

/// One opening packet and the upstream's load when it arrives.
struct OpeningRequest {
    PacketEndpoint address;
    /// The service for which the balancer offers the opening; empty if it is of an earlier release. The balancer knows this agent's
    /// service from an announcement of any age, which may be that of another process at this address.
    std::string_view service;
    /// Version of the configuration by which the balancer chose this agent's service.
    ConfigVersion balancerVersion = 0;
    std::uint32_t openFlows = 0;
    std::uint32_t atWork = 0;
    /// The balancer prefers to try another agent over queueing the opening here.
    bool needsFreeSlot = false;
};

/// Decides whether the upstream gets this opening packet now. An admitted opening counts towards the cold rate.
OpeningRefusal decideOpening(FlowAdmission&, const RouteTable&, const OutageView&, const OpeningRequest&, Millis now);

/// Decides whether the upstream gets another opening packet of a flow that it was sent an opening of before. It may be a copy, or the
/// first packet of a new flow from the same port. Its upstream may have been replaced in the meantime; load and state do not matter.
OpeningRefusal decideCopy(const FlowAdmission&, const RouteTable&, const OpeningRequest&, Millis now);

/// Applies the upstream's notice that it shuts down. Returns false, without effect, when `id` is not that of the known
/// process.
bool applyShutdownNotice(FlowAdmission&, std::string_view id);

/// Records that the upstream's process was found to have ended. It gets no openings until another process
/// reports, or until a report of the same one arrives after `lateReportLimit`, which shows that it runs.
void recordUpstreamEnd(FlowAdmission&, Millis now);

/// Whether the process that sent the last report is known to run, so that it holds its flows. It is not while another one claims its
/// address.
bool isRunning(const FlowAdmission&, Millis now);

/// Whether the known process has reported lately.
bool isReporting(const FlowAdmission&, Millis now);

/// Whether the upstream is one to send new flows to, apart from the age of what is known of it: it has reported, and has
/// neither ended nor announced that it shuts down.
bool takesFlows(const FlowAdmission&);

/// Whether the upstream accepts new flows, judged by its reports, by what shows that its process runs, and by a recorded end.
bool isServing(const FlowAdmission&, Millis now);

/// Treats the upstream as cold for the whole warm-up time until a report says how long it really stays cold. Used when it
/// may have become cold without having reported it, as when its data centre returns to service.
void assumeCold(FlowAdmission&, const RouteTable&, Millis now);

}
