#pragma once

#include "libcaller/caller.h"
#include "libhistory/history.h"

#include <asio/steady_timer.hpp>
#include <map>
#include <random>

namespace kingcuptrail {

/// Times in milliseconds.
struct WorkloadOptions {
    ServiceAddress service = 0;
    std::string serviceName;
    std::size_t feeds = 0;
    /// Number of flows held open for the whole run, over which queries are spread.
    std::size_t flows = 4;
    double queriesPerSecond = 0;
    /// Total number of filings, spread evenly over the run.
    std::size_t filings = 0;
    std::size_t filingBytes = std::size_t { 2 } * 1024 * 1024;
    Millis queryDeadline = 3000;
    Millis filingDeadline = 15000;
    Millis duration = 10000;
    std::uint64_t seed = 1;
};

/// Simulates end users for a limited time: holds feeds and flows open, sends queries and filings, and records the results.
class Workload {
public:
    Workload(asio::io_context& context, const CallerOptions& callerOptions, const WorkloadOptions& options, HistoryWriter* history);

    /// Starts no more calls, cancels the feeds, waits for the calls in progress, closes all flows and stops the context.
    void finish();

    /// Counts and latencies of the run as one JSON object.
    std::string summary() const;

private:
    struct Feed {
        std::string key;
        std::uint64_t lastItem = 0;
        std::string partial;
    };

    /// Calls `act` at regular intervals, at most `limit` times.
    struct PeriodicAction {
        PeriodicAction(asio::io_context& context, double perSecond, std::size_t limit, std::function<void()> act);
        void schedule();

        asio::steady_timer timer;
        std::chrono::steady_clock::time_point next;
        std::chrono::nanoseconds interval;
        std::size_t remaining;
        std::function<void()> act;
    };

    void openHeldFlow();
    void startFeed();
    void parseFeedItems(Feed& feed, std::string_view bytes);
    void sendQuery();
    void sendFiling();
    CallId call(CallSpec spec, std::function<void(std::string_view)> onChunk, std::function<void(const CallResult&)> onDone);
    void recordResult(HistoryEvent event, const CallResult& result);
    void handleFlowEnd(FlowId flow, CallerFlowEnd end, RefusalReason reason);
    void awaitCalls();
    void record(HistoryEvent event);
    std::string newKey(std::string_view kind);

    asio::io_context& m_context;
    WorkloadOptions m_options;
    HistoryWriter* m_history;
    std::string m_name;
    std::mt19937_64 m_random;
    Caller m_caller;
    std::vector<std::unique_ptr<PeriodicAction>> m_periodicActions;
    asio::steady_timer m_timer;
    std::vector<FlowId> m_flows;
    std::map<FlowId, bool> m_opened;
    std::map<CallId, bool> m_feedCalls;
    std::size_t m_callsInProgress = 0;
    std::uint64_t m_nextKey = 1;
    std::uint64_t m_feedItems = 0;
    std::uint64_t m_flowsOpened = 0;
    std::uint64_t m_foreignAnswers = 0;
    EnumCounters<CallOutcome> m_outcomes;
    EnumCounters<RefusalReason> m_finalReasons;
    LatencyHistogram m_latency;
    bool m_finishing = false;
};

}
