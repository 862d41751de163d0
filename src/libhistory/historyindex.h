#pragma once

#include "history.h"

#include <limits>
#include <map>

namespace kingcuptrail {

constexpr Millis endOfTime = std::numeric_limits<Millis>::max() / 4;

/// A period of time, with the event that began it.
struct HistorySpan {
    const HistoryEvent* began = nullptr;
    Millis until = endOfTime;

    Millis from() const { return began->at; }
    bool overlaps(Millis start, Millis end) const { return from() <= end && start <= until; }
};

/// A call of an end user.
struct CallRecord {
    const HistoryEvent* sent = nullptr;
    /// Null when no outcome was recorded.
    const HistoryEvent* outcome = nullptr;
};

/// An execution of a request at an upstream.
struct WorkRecord {
    const HistoryEvent* began = nullptr;
    /// Null when it did not end.
    const HistoryEvent* ended = nullptr;
};

struct FlowRecord {
    const HistoryEvent* opened = nullptr;
    const HistoryEvent* ended = nullptr;
    /// Empty when the history does not state which upstream owns the flow.
    std::string upstream;
};

/// A daemon, and the periods in which it was stopped, frozen or faulty.
struct DaemonRecord {
    std::vector<const HistoryEvent*> starts;
    std::vector<HistorySpan> absences;
    std::vector<const HistoryEvent*> configs;
};

/// Index of the events of a history by subject. Holds pointers into the events, which must outlive it.
struct HistoryIndex {
    /// `failureNotice` is CheckOptions::notice.
    HistoryIndex(const std::vector<HistoryEvent>& events, Millis failureNotice);

    /// Whether a flow or call that lasted from `start` to `end` may have ended because its upstream or agent failed or its
    /// data centre was out of service. Failures that ended more than `notice` before `end` do not count, since the flow or
    /// call survived them.
    bool isExplainedByFailure(const std::string& upstream, Millis start, Millis end) const;

    /// The same for failures of any process and for all other faults.
    bool hasFailure(Millis start, Millis end) const;

    bool isIdempotent(const std::string& key) const;

    /// The name of an event's upstream, also when the event carries only the id.
    std::string upstreamOf(const HistoryEvent& event) const;

    Millis notice;
    Millis end = 0;
    std::map<std::string, std::vector<CallRecord>> callsByKey;
    std::map<std::string, std::vector<WorkRecord>> worksByKey;
    std::map<FlowId, FlowRecord> flows;
    /// By data centre.
    std::map<std::string, std::vector<HistorySpan>> outages;
    /// By data centre, accepted outages from the time of the operators' request: flows there may end from then on, since
    /// daemons may learn of the accepted change before the operators do.
    std::map<std::string, std::vector<HistorySpan>> requestedOutages;
    /// By data centre, the last outage that was requested and not accepted yet.
    std::map<std::string, const HistoryEvent*> pendingOutageRequests;
    /// By upstream: failures of the upstream or its agent, and drains.
    std::map<std::string, std::vector<HistorySpan>> failures;
    std::map<std::string, std::vector<HistorySpan>> drains;
    /// By upstream: injected faults that name it.
    std::map<std::string, std::vector<HistorySpan>> upstreamFaults;
    std::vector<HistorySpan> allFailures;
    std::vector<HistorySpan> platformFaults;
    /// By process.
    std::map<std::string, DaemonRecord> daemons;
    std::vector<const HistoryEvent*> accepted;
    std::vector<const HistoryEvent*> shutdowns;
    std::map<std::string, std::string> serviceOfUpstream;
    std::map<std::string, std::string> dataCentreOfUpstream;

private:
    void indexUpstreamNames(const std::vector<HistoryEvent>& events);
    void add(const HistoryEvent& event);
    void addCallEvent(const HistoryEvent& event);
    void addFlowEvent(const HistoryEvent& event);
    void addUpstreamEvent(const HistoryEvent& event);
    void addProcessEvent(const HistoryEvent& event);
    void beginFailure(const HistoryEvent& event);
    void endFailure(const HistoryEvent& event);

    std::map<UpstreamId, std::string> m_upstreamNames;
};

/// The process that an event is about.
const std::string& processOf(const HistoryEvent& event);

}
