#include "adminendpoint.h"

namespace kingcuptrail {

namespace {

    /// The endpoint has few clients; the limits keep a stuck or hostile one from using up the daemon's file descriptors.
    constexpr HttpServerOptions adminLimits { .maxBodyBytes = 4096, .requestTimeout = 3000, .maxConnections = 64 };

    HttpResponse reply(int status, std::string_view contentType, std::string body)
    {
        return { .status = status, .headers = { { "Content-Type", std::string(contentType) } }, .body = std::move(body) };
    }

}

AdminEndpoint::AdminEndpoint(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint, Sources sources, const FailureHandler& onFailure)
    : m_sources(std::move(sources))
{
    asio::error_code error;
    m_server = HttpServer::listen(
        context, endpoint, adminLimits,
        [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) { responder->respond(answer(request)); }, error);
    if (error)
        onFailure(ChildFailure::BindFailed);
}

std::optional<asio::ip::tcp::endpoint> AdminEndpoint::localEndpoint() const
{
    return m_server ? std::optional(m_server->localEndpoint()) : std::nullopt;
}

HttpResponse AdminEndpoint::answer(const HttpRequest& request) const
{
    if (request.method != "GET")
        return reply(405, "application/json", R"({"error":"methodNotAllowed"})");
    const std::string_view path = pathOf(request.target);
    if (path == "/status")
        return reply(200, "application/json", m_sources.status());
    if (path == "/metrics")
        return reply(200, "text/plain; version=0.0.4", m_sources.metrics());
    if (path == "/health")
        return reply(200, "application/json", R"({"healthy":true})");
    return reply(404, "application/json", R"({"error":"notFound"})");
}

}
