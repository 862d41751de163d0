#pragma once

#include "enumnames.h"
#include "routetable.h"

#include <deque>
#include <optional>
#include <string>

namespace kingcuptrail {

/// Why an agent does not admit an opening packet.
enum class OpenRefusal : std::uint8_t {
    None,
    /// No report of a living upstream yet, or none for too long.
    NoUpstream,
    UpstreamDraining,
    /// The agent's own process is stopping.
    AgentLeaving,
    DataCentreOut,
    /// The process stood still and has not yet heard what changed meanwhile.
    ViewInDoubt,
    /// No configuration is known.
    NoConfiguration,
    /// The configuration in force does not send the address here.
    WrongService,
    /// A cold upstream already gets what it bears.
    Cold,
    /// The upstream holds as many flows as it may.
    FlowLimit,
    /// So much work waits at the upstream that an opening has to wait, or cannot even wait.
    Busy,
    /// The upstream itself handed the packet back.
    Returned,
    /// It waited at the agent for as long as its caller does.
    WaitedTooLong,
    /// The upstream accepts flows and breaks off their requests.
    UpstreamFailing,
};

template <>
struct EnumNames<OpenRefusal> {
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

/// Whether the reason may be gone within the time that an opening can wait: a process that has just started learns the
/// configuration within some round trips, and hears its upstream with the next heartbeat.
bool isPassing(OpenRefusal refusal);

/// What an upstream says of itself in a heartbeat.
struct UpstreamReport {
    std::string id;
    std::string service;
    std::string dataCentre;
    /// Unix milliseconds of the upstream's start, by its own clock. Orders the processes that speak for one address.
    std::uint64_t born = 0;
    /// Grows with each report of one process.
    std::uint64_t sequence = 0;
    std::uint32_t slots = 1;
    bool isDraining = false;
    /// How much longer the upstream stays cold, in milliseconds.
    Millis coldLeft = 0;
};

struct OpenGateOptions {
    /// An upstream that says nothing for longer takes no new flow, in milliseconds. Below the time after which its address
    /// may belong to another service, above a heartbeat.
    Millis reportLimit = 1900;
    /// Work that may run or wait at an upstream for each of its slots before openings wait at the agent instead: one round
    /// runs, and the next is at hand when a slot gets free, so that none stands idle for the way to the caller and back.
    double workPerSlot = 2.0;
    /// The window in which a cold upstream's openings are counted, in milliseconds. A second, and room for an opening that
    /// is on its way to the upstream while the window slides.
    Millis coldWindow = 1150;
};

/// What an agent knows when it decides on opening packets.
struct OpenGate {
    OpenGateOptions options;
    std::optional<UpstreamReport> upstream;
    Millis reportedAt = 0;
    /// Until when the upstream is cold, by this process's clock.
    Millis coldUntil = 0;
    /// When openings were admitted while the upstream was cold.
    std::deque<Millis> coldOpenings;
    bool isLeaving = false;
    bool isViewInDoubt = false;
};

/// What is known of one opening packet and of the upstream's load.
struct OpenAttempt {
    PacketEndpoint address;
    /// The configuration by which the balancer chose this agent's service.
    ConfigVersion balancerVersion = 0;
    std::uint32_t openFlows = 0;
    std::uint32_t atWork = 0;
    /// The balancer would rather try another agent than have the opening wait.
    bool needsFreeSlot = false;
};

/// Whether the upstream may get this opening packet now. Counts it when it may.
OpenRefusal decideOpen(OpenGate&, const RouteTable&, const OutageView&, const OpenAttempt&, Millis now);

/// What a report changed.
enum class ReportNews : std::uint8_t {
    /// From a process that another one has replaced, or older than one already heard.
    Stale,
    Nothing,
    /// State, service or slots differ.
    Changed,
    /// A new process speaks for the upstream; the flows of the one before are gone.
    NewProcess,
};

template <>
struct EnumNames<ReportNews> {
    static constexpr std::array<std::string_view, 4> names { "stale", "nothing", "changed", "newProcess" };
};

/// Takes a heartbeat of the upstream.
ReportNews takeReport(OpenGate&, const UpstreamReport&, Millis now);

/// The upstream says that it is gone. Only the process that is known can say so of itself.
bool takeFarewell(OpenGate&, std::string_view id);

/// Whether the upstream takes new flows as far as its own reports say.
bool isServing(const OpenGate&, Millis now);

/// The upstream may have become cold without saying so yet, as when its data centre comes back: it counts as cold for the
/// whole warm-up, until a report says how long it really is.
void assumeCold(OpenGate&, const RouteTable&, Millis now);

}
