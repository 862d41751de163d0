#pragma once

#include "libdecision/refusal.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuptrail {

/// The kind of an event. The comments list the fields of HistoryEvent that a kind requires besides `at` and `who`.
enum class HistoryKind : std::uint8_t {
    // Written by callers. A call is one request of an end user with all its tries.
    /// key, call, service, idempotent, flow if the call uses a specific one; bodyHash of the request.
    RequestSent,
    /// key, call, bodyHash of the answer.
    AnswerWhole,
    /// key, call. An answer or feed broke off before its end.
    AnswerBroken,
    /// key, call, reason.
    RefusedNotRun,
    RefusedRan,
    RefusedUnknown,
    /// key, call. The end user cancelled the call, or the deadline of an idempotent request passed.
    CallGaveUp,
    /// flow, service, upstream or upstreamId. The flow is established.
    FlowOpened,
    /// flow, reason. The flow ended, but was neither closed by the caller nor given up.
    FlowBroken,
    /// flow, reason. The flow ended because its data centre was taken out of service.
    FlowGivenUp,
    /// flow. The caller closed the flow.
    FlowClosed,
    /// key, flow, sequence. An item of a feed arrived.
    FeedItem,
    // Written by upstreams.
    /// upstream, upstreamId, service, dataCentre.
    UpstreamStarted,
    /// key, upstream, service, dataCentre, bodyHash of the request, concurrent, bearable. The upstream began a request.
    UpstreamWorkBegan,
    /// key, upstream, bodyHash of the answer. Written before the answer is sent.
    UpstreamWorkEnded,
    /// upstream, concurrent, bearable. The upstream failed under its load.
    UpstreamOverloaded,
    /// upstream, dataCentre, service that the packet was addressed to.
    UpstreamPacket,
    // Written by operators' tools and scenarios.
    /// version.
    OperatorApplied,
    /// dataCentre, version.
    OperatorTookOut,
    OperatorBroughtBack,
    /// dataCentre. The change was requested. It may take effect before the operators learn that it was accepted.
    OperatorBeganTakeOut,
    /// process, version.
    ConfigInForce,
    /// process, upstream.
    DrainBegan,
    /// process, upstream if it is an agent.
    ShutdownBegan,
    /// process, role, and upstream and dataCentre if it has them.
    ProcessStarted,
    ProcessKilled,
    ProcessFrozen,
    ProcessContinued,
    /// process and upstream if the fault concerns them. A fault other than a kill or a freeze was injected or removed.
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
    /// Time of the host's monotonic clock in milliseconds, comparable between the processes of one host. If 0, filled in
    /// by HistoryWriter.
    Millis at = 0;
    /// The process that recorded the event, such as "caller-1". If empty, filled in by HistoryWriter.
    std::string who;
    HistoryKind kind = HistoryKind::RequestSent;
    std::string process;
    ProcessRole role = ProcessRole::Other;
    /// The idempotency key, the same for all calls that repeat the request.
    std::string key;
    /// Distinguishes calls of one caller that share a key.
    std::uint64_t call = 0;
    FlowId flow = 0;
    std::string service;
    std::string upstream;
    UpstreamId upstreamId = 0;
    std::string dataCentre;
    bool idempotent = true;
    std::uint64_t bodyHash = 0;
    ConfigVersion version = 0;
    /// Requests being processed by the upstream, this one included, and how many it can process at that moment.
    std::uint32_t concurrent = 0;
    std::uint32_t bearable = 0;
    std::uint64_t sequence = 0;
    RefusalReason reason = RefusalReason::None;
    /// Description for human readers; not used by the checker.
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

/// The error that ended reading, and its location.
struct HistoryFault {
    HistoryError error = HistoryError::None;
    std::string file;
    std::size_t line = 0;
};

/// Appends events to a file, one JSON object per line. Each line is flushed at once, so that no event is lost when the
/// process is killed.
class HistoryWriter {
public:
    /// Returns null when the file cannot be opened for appending.
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

/// Serialises an event to a line, without a line break.
std::string toJsonLine(const HistoryEvent& event);

/// Parses one line. Returns nothing and sets `error` when it is not a valid event.
std::optional<HistoryEvent> parseJsonLine(std::string_view line, HistoryError& error);

/// Reads files and merges their events by time; events of one file with equal times keep their order. A last line without
/// a line break is ignored, since its writer was killed while writing it. Returns nothing at the first error and sets
/// `fault`.
std::optional<std::vector<HistoryEvent>> readHistory(const std::vector<std::string>& files, HistoryFault& fault);

}
