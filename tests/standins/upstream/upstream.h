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
    /// Length of a cold start, and how many requests the upstream can serve at once at its beginning; the number grows
    /// linearly until the end.
    Millis coldFor = 0;
    std::uint32_t coldConcurrency = 1;
    Millis feedInterval = 500;
    Millis queryTime = 10;
    Millis filingTime = 100;
};

/// The settings that POST /control changes.
struct UpstreamBehaviour {
    /// Factor by which the time of each request is multiplied.
    double slowFactor = 1;
    /// Refuses all requests before they run.
    bool sheds = false;
    /// Reports itself as healthy and idle in /health and /load, whatever its state.
    bool lies = false;
    bool isHealthy = true;
};

/// Stands in for an upstream: serves a feed of numbered items, short queries, and filings that are answered with a receipt.
/// It can serve a limited number of requests at once; requests beyond that take longer and are recorded as overload.
class Upstream {
public:
    Upstream(asio::io_context& context, const UpstreamOptions& options, HistoryWriter* history);

    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);

private:
    /// A request in progress; counts as concurrent while the object exists.
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
