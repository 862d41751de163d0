#pragma once

#include "libdecision/refusal.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuptrail {

/// What happened. The comments name the fields of HistoryEvent that a kind needs beside `at` and `who`.
enum class HistoryKind : std::uint8_t {
    // Written by callers: a call is one request of an end user with all its tries.
    /// key, call, service, idempotent, flow where one is fixed; bodyHash of the request.
    RequestSent,
    /// key, call, bodyHash of the answer.
    AnswerWhole,
    /// key, call; an answer or feed ended before its end.
    AnswerBroken,
    /// key, call, reason.
    RefusedNotRun,
    RefusedRan,
    RefusedUnknown,
    /// key, call; the end user gave up, or the deadline of an idempotent request passed.
    CallGaveUp,
    /// flow, service, upstream or upstreamId. The flow is established.
    FlowOpened,
    /// flow, reason; the flow ended, and neither the caller closed it nor was it given up.
    FlowBroken,
    /// flow, reason.
    FlowGivenUp,
    /// flow; closed by the caller.
    FlowClosed,
    /// key, flow, sequence; one item of a feed.
    FeedItem,
    // Written by upstreams.
    /// upstream, upstreamId, service, dataCentre.
    UpstreamStarted,
    /// key, upstream, service, dataCentre, bodyHash of the request, concurrent, bearable.
    UpstreamWorkBegan,
    /// key, upstream, bodyHash of the answer, written before the answer is sent.
    UpstreamWorkEnded,
    /// upstream, concurrent, bearable; it fell over.
    UpstreamOverloaded,
    /// upstream, dataCentre, service that the packet was for.
    UpstreamPacket,
    // Written by operators' tools and scenarios.
    /// version.
    OperatorApplied,
    /// dataCentre, version.
    OperatorTookOut,
    OperatorBroughtBack,
    /// dataCentre. The change is asked for; it may take effect before the operators hear that it was accepted.
    OperatorBeganTakeOut,
    /// process, version.
    ConfigInForce,
    /// process, upstream.
    DrainBegan,
    /// process, upstream where it is an agent.
    ShutdownBegan,
    /// process, role, upstream, dataCentre where it has them.
    ProcessStarted,
    ProcessKilled,
    ProcessFrozen,
    ProcessContinued,
    /// process and upstream where it has them; what else was broken on purpose.
    FaultBegan,
    FaultEnded,
};

template <>
struct EnumNames<HistoryKind> {
    static constexpr std::array<std::string_view, 30> names {
        "requestSent",
        "answerWhole",
        "answerBroken",
        "refusedNotRun",
        "refusedRan",
        "refusedUnknown",
        "callGaveUp",
        "flowOpened",
        "flowBroken",
        "flowGivenUp",
        "flowClosed",
        "feedItem",
        "upstreamStarted",
        "upstreamWorkBegan",
        "upstreamWorkEnded",
        "upstreamOverloaded",
        "upstreamPacket",
        "operatorApplied",
        "operatorTookOut",
        "operatorBroughtBack",
        "operatorBeganTakeOut",
        "configInForce",
        "drainBegan",
        "shutdownBegan",
        "processStarted",
        "processKilled",
        "processFrozen",
        "processContinued",
        "faultBegan",
        "faultEnded",
    };
};

enum class ProcessRole : std::uint8_t {
    Other,
    Balancer,
    Agent,
    Upstream,
    Platform,
};

template <>
struct EnumNames<ProcessRole> {
    static constexpr std::array<std::string_view, 5> names { "other", "balancer", "agent", "upstream", "platform" };
};

/// One line of a history. Fields left at their defaults are not written.
struct HistoryEvent {
    /// The host's monotonic clock, in milliseconds: comparable over the processes of one host. 0: filled in when written.
    Millis at = 0;
    /// Who saw it, as "caller-1". Filled in when written.
    std::string who;
    HistoryKind kind = HistoryKind::RequestSent;
    std::string process;
    ProcessRole role = ProcessRole::Other;
    /// The idempotency key: names the work, also across calls that repeat it.
    std::string key;
    /// Tells calls of one caller apart that share a key.
    std::uint64_t call = 0;
    FlowId flow = 0;
    std::string service;
    std::string upstream;
    UpstreamId upstreamId = 0;
    std::string dataCentre;
    bool idempotent = true;
    std::uint64_t bodyHash = 0;
    ConfigVersion version = 0;
    /// Requests in work at the upstream, this one included, and how many it can bear at that moment.
    std::uint32_t concurrent = 0;
    std::uint32_t bearable = 0;
    std::uint64_t sequence = 0;
    RefusalReason reason = RefusalReason::None;
    /// For people; the checker does not read it.
    std::string detail;
};

enum class HistoryError : std::uint8_t {
    None,
    CannotOpen,
    NotJson,
    UnknownEvent,
    BadField,
};

template <>
struct EnumNames<HistoryError> {
    static constexpr std::array<std::string_view, 5> names { "none", "cannotOpen", "notJson", "unknownEvent", "badField" };
};

/// Where reading stopped.
struct HistoryFault {
    HistoryError error = HistoryError::None;
    std::string file;
    std::size_t line = 0;
};

/// Appends events to a file, one JSON object a line. Each line is handed to the host at once, so that what a killed
/// process saw is not lost with it.
class HistoryWriter {
public:
    /// Nothing when the file cannot be opened for appending.
    static std::unique_ptr<HistoryWriter> open(const std::string& file, std::string who);

    ~HistoryWriter();
    HistoryWriter(const HistoryWriter&) = delete;
    HistoryWriter& operator=(const HistoryWriter&) = delete;

    void append(HistoryEvent event);

private:
    struct Private;
    explicit HistoryWriter(std::unique_ptr<Private> d);

    std::unique_ptr<Private> m_d;
};

/// The line for one event, without a line break.
std::string toJsonLine(const HistoryEvent& event);

/// Reads one line; nothing, with the reason in `error`, when it is not an event.
std::optional<HistoryEvent> parseJsonLine(std::string_view line, HistoryError& error);

/// Reads files and merges them by time; events of one file stay in their order. A last line without a line break is
/// left out: its writer was killed while it wrote. Nothing at the first fault.
std::optional<std::vector<HistoryEvent>> readHistory(const std::vector<std::string>& files, HistoryFault& fault);

}
