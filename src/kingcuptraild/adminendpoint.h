#pragma once

#include "libhttp/httpserver.h"
#include "libruntime/supervisor.h"

#include <functional>
#include <optional>
#include <string>

namespace kingcuptrail {

/// The administration endpoint of a daemon: GET /status (JSON), GET /metrics (text exposition), GET /health.
class AdminEndpoint : public Supervised {
public:
    struct Sources {
        std::function<std::string()> status;
        std::function<std::string()> metrics;
    };

    AdminEndpoint(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint, Sources sources, const FailureHandler& onFailure);

    /// The bound endpoint; nothing when binding failed.
    std::optional<asio::ip::tcp::endpoint> localEndpoint() const;

private:
    HttpResponse answer(const HttpRequest& request) const;

    Sources m_sources;
    std::unique_ptr<HttpServer> m_server;
};

}
