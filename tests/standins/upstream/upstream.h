#pragma once

#include "libdecision/ids.h"
#include "libhistory/history.h"
#include "libhttp/httpserver.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace kingcuptrail {

/// Times in milliseconds.
struct UpstreamOptions {
    std::string name;
    UpstreamId id = 0;
    std::string service;
    std::string dataCentre;
    std::uint32_t slots = 5;
    /// How long a cold start takes, and what the upstream bears at its beginning; it bears more and more until its end.
    Millis coldFor = 0;
    std::uint32_t coldBears = 1;
    Millis feedInterval = 500;
    Millis queryTime = 10;
    Millis filingTime = 100;
};

/// What POST /control changes.
struct UpstreamBehaviour {
    /// Times every piece of work takes longer.
    double slowFactor = 1;
    /// Turns all work away before it runs.
    bool sheds = false;
    /// Answers /health and /load as if all were well and idle.
    bool lies = false;
    bool isHealthy = true;
};

/// Stands in for an upstream: a feed of numbered items, short queries, and filings that answer with a receipt. Bears
/// only so much at once; beyond that it answers late and records that it was overloaded.
class Upstream {
public:
    Upstream(asio::io_context& context, const UpstreamOptions& options, HistoryWriter* history);

    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);

private:
    /// One piece of work; counts against the concurrency while it lives.
    struct Work;

    void handleControl(const std::string& json, HttpResponder& responder);
    void begin(HttpRequest request, std::shared_ptr<HttpResponder> responder);
    void finish(const std::shared_ptr<Work>& work);
    void feed(std::shared_ptr<HttpResponder> responder, std::uint64_t number);
    std::uint32_t bearable() const;
    HistoryEvent event(HistoryKind kind, const HttpRequest& request) const;
    void record(HistoryEvent event);

    asio::io_context& m_context;
    UpstreamOptions m_options;
    UpstreamBehaviour m_behaviour;
    HistoryWriter* m_history;
    std::chrono::steady_clock::time_point m_coldSince;
    std::uint32_t m_concurrent = 0;
};

}
