#pragma once

#include "libhttp/httpserver.h"
#include "libruntime/supervisor.h"

namespace kingcuptrail {

/// A supervised HTTP server that answers every request synchronously through one function.
class HttpEndpoint : public Supervised {
public:
    using Answer = std::function<HttpResponse(const HttpRequest&)>;

    HttpEndpoint(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint, Answer answer, const FailureHandler& onFailure)
    {
        asio::error_code error;
        m_server = HttpServer::listen(
            context, endpoint, { .maxBodyBytes = 65536, .requestTimeout = 3000, .maxConnections = 256 },
            [answer = std::move(answer)](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) { responder->respond(answer(request)); }, error);
        if (error)
            onFailure(ChildFailure::BindFailed);
    }

private:
    std::unique_ptr<HttpServer> m_server;
};

}
