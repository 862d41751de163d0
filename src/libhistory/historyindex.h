#pragma once

#include "history.h"

#include <limits>
#include <map>

namespace kingcuptrail {

constexpr Millis endOfTime = std::numeric_limits<Millis>::max() / 4;

/// A stretch of time, with the event that began it.
struct HistorySpan {
    const HistoryEvent* began = nullptr;
    Millis until = endOfTime;

    Millis from() const { return began->at; }
    bool overlaps(Millis start, Millis end) const { return from() <= end && start <= until; }
};

/// One call of an end user.
struct CallRecord {
    const HistoryEvent* sent = nullptr;
    /// Null while it has none.
    const HistoryEvent* outcome = nullptr;
};

/// One run of a request at an upstream.
struct WorkRecord {
    const HistoryEvent* began = nullptr;
    /// Null when it never ended.
    const HistoryEvent* ended = nullptr;
};

struct FlowRecord {
    const HistoryEvent* opened = nullptr;
    const HistoryEvent* ended = nullptr;
    /// Empty when no event tells which upstream owns it.
    std::string upstream;
};

/// A daemon and the times at which it could not be expected to act.
struct DaemonRecord {
    std::vector<const HistoryEvent*> starts;
    std::vector<HistorySpan> absences;
    std::vector<const HistoryEvent*> configs;
};

/// The events of one history by subject. Keeps pointers into the events, which must outlive it.
struct HistoryIndex {
    /// `failureNotice` is CheckOptions::notice.
    HistoryIndex(const std::vector<HistoryEvent>& events, Millis failureNotice);

    /// Whether what lived from `start` to `end` may have ended because its upstream, its agent or its data centre failed or
    /// was out. A failure long before the end is no excuse: what survived it did not end by it.
    bool isExcused(const std::string& upstream, Millis start, Millis end) const;

    /// The same of any process killed or frozen and any other fault.
    bool anyFailure(Millis start, Millis end) const;

    bool isIdempotent(const std::string& key) const;

    /// The name for an event that may carry only the id.
    std::string upstreamOf(const HistoryEvent& event) const;

    Millis notice;
    Millis end = 0;
    std::map<std::string, std::vector<CallRecord>> callsByKey;
    std::map<std::string, std::vector<WorkRecord>> worksByKey;
    std::map<FlowId, FlowRecord> flows;
    /// By data centre.
    std::map<std::string, std::vector<HistorySpan>> outages;
    /// By data centre, accepted outages from the moment in which operators asked for them: from then on flows there may be
    /// given up, since daemons may hear of the acceptance before the operators do.
    std::map<std::string, std::vector<HistorySpan>> outagesAsked;
    /// By data centre, the last outage that was asked for and not accepted yet.
    std::map<std::string, const HistoryEvent*> asksForOutage;
    /// By upstream; failures of the upstream or its agent, and drains.
    std::map<std::string, std::vector<HistorySpan>> failures;
    std::map<std::string, std::vector<HistorySpan>> drains;
    /// Faults named at an upstream.
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
    void learnNames(const std::vector<HistoryEvent>& events);
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
