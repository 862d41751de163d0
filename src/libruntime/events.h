#pragma once

#include "libdecision/enumnames.h"
#include "libdecision/packet.h"

#include <array>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace kingcuptrail {

/// Events that daemons log. The numbers never change, since operators' alerts refer to them. docs/EVENTS.md explains each.
enum class Event : std::uint16_t {
    // Process
    DaemonStarted = 100,
    DaemonStopping = 101,
    DaemonStopped = 102,
    SettingsRefused = 103,
    SettingsReloaded = 104,
    ChildRestarted = 110,
    ChildGaveUp = 111,
    // Links
    LinkUp = 200,
    LinkLost = 201,
    LinkRefused = 202,
    PeerLeaving = 203,
    // Configuration and membership
    ConfigInForce = 300,
    ConfigOlderIgnored = 301,
    DataCentreOut = 302,
    DataCentreBack = 303,
    MemberJoined = 310,
    MemberChanged = 311,
    MemberLeft = 312,
    Announced = 320,
    Fenced = 321,
    PeerChanged = 322,
    RoutesInForce = 323,
    ForeignObject = 324,
    ServiceLimitsInForce = 325,
    StoreFollowed = 326,
    DirectoryTaken = 327,
    LeftBehindRemoved = 328,
    PeerTraffic = 329,
    PlatformTrouble = 330,
    PlatformBack = 331,
    AddressReused = 332,
    WatchSilent = 333,
    // Health of other data centres
    DataCentreSilent = 341,
    DataCentreLost = 342,
    DataCentreHeard = 343,
    CallersNotified = 344,
    // Load
    UpstreamCold = 400,
    UpstreamWarm = 401,
    UpstreamHealthChanged = 402,
    Saturated = 403,
    UpstreamUnreachable = 404,
    UpstreamReachable = 405,
    UpstreamReported = 406,
    UpstreamLeft = 407,
    ForeignReport = 408,
    ProcessPaused = 409,
    UpstreamMissing = 410,
    UpstreamFailing = 411,
    UpstreamAnswersAgain = 412,
    UpstreamEnded = 413,
    StaleReport = 414,
    FlowsVerified = 415,
    ContradictingReport = 416,
    IdleFlowsDropped = 417,
    ReplacementDisproved = 418,
    ReplacementConfirmed = 419,
    // Safety
    WrongServicePacket = 500,
    OutcomeUnknown = 501,
    FlowsGivenUp = 502,
    // Flows of datagrams
    FlowOffered = 600,
    FlowRefused = 601,
    FlowAdmitted = 602,
    OpeningRefused = 603,
    HolderFound = 604,
    FlowLost = 605,
    SearchUncertain = 608,
    FlowLearnt = 606,
    LinesLeftOut = 607,
    BulkOpeningHeld = 609,
    FlowReset = 610,
};

enum class EventLevel : std::uint8_t {
    Info,
    Warning,
    Error,
};

struct EventInfo {
    Event event;
    EventLevel level;
    std::string_view name;
    std::string_view meaning;
    /// What an operator can do about it.
    std::string_view action;
};

/// All events, ordered by number.
std::span<const EventInfo> eventTable();

/// A named value logged with an event.
struct EventField {
    EventField(std::string_view fieldName, std::string_view fieldValue);
    EventField(std::string_view fieldName, std::uint64_t fieldValue);

    std::string_view name;
    std::string value;
    /// Set if the value is a number; JSON output then writes it without quotes.
    std::optional<std::uint64_t> number;
};

/// Logs an event at its level, as "E310 memberJoined upstream=board-1 dataCentre=north" or as a JSON object.
void logEvent(Event event, std::initializer_list<EventField> fields = {});

/// Logs a decision about one flow, whose id is in the field "flow". Since such lines are written for each request, they are
/// rate-limited: lines beyond the limit are omitted and counted, so that a flood of requests does not flood the log.
void logFlowEvent(Event event, const FlowKey& flow, std::initializer_list<EventField> fields = {});

/// How log lines are written.
enum class LogFormat : std::uint8_t {
    /// Plain text, to standard error.
    Text,
    /// One JSON object for each line, to standard output.
    Json,
};

template <>
struct EnumNames<LogFormat> {
    static constexpr std::array<std::string_view, 2> names { "text", "json" };
};

/// Sets up logging for this process. Returns false when the level's name is unknown.
bool startLogging(std::string_view processName, std::string_view level, LogFormat format = LogFormat::Text);

}
