#pragma once

#include "http.h"
#include "libdecision/ids.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace kingcuptrail {

struct HttpServerOptions {
    std::size_t maxBodyBytes = std::size_t { 4 } * 1024 * 1024;
    /// Time within which a request must arrive completely, in milliseconds; later the connection is answered with an error
    /// and closed.
    Millis requestTimeout = 10000;
    /// Time for which a client may accept no byte of a pending response, in milliseconds.
    Millis writeTimeout = 10000;
    /// Maximum number of streamed bytes queued for a slow client; the connection is closed when it is exceeded.
    std::size_t maxStreamBytes = std::size_t { 16 } * 1024 * 1024;
    std::size_t maxConnections = 4096;
};

/// Answers one request, at any later time. Calls have no effect after the connection has closed. Releasing the last
/// reference without a complete response closes the connection.
class HttpResponder {
public:
    virtual ~HttpResponder() = default;

    virtual void respond(HttpResponse response) = 0;

    /// Begins a response of unknown length, sent with chunked encoding.
    virtual void beginStream(int status, std::vector<HttpHeader> headers) = 0;
    virtual void writeChunk(std::string_view chunk) = 0;
    virtual void endStream() = 0;

    /// Closes the connection without a complete response.
    virtual void abort() = 0;

    /// Whether the connection is open and the response unfinished.
    virtual bool isOpen() const = 0;

    /// Sets a handler that is called once if the connection closes before the response is finished.
    virtual void setOnDisconnect(std::function<void()> onDisconnect) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/// A small HTTP/1.1 server for administration endpoints and for test stand-ins. Must be used from the thread that runs its
/// io_context. Accepts one request per connection and refuses bytes after it, which prevents request smuggling.
class HttpServer {
public:
    /// Returns null, with the reason in `error`, when the address cannot be bound.
    static std::unique_ptr<HttpServer> listen(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint,
        const HttpServerOptions& options, HttpHandler handler, asio::error_code& error);

    virtual ~HttpServer() = default;
    virtual asio::ip::tcp::endpoint localEndpoint() const = 0;
};

}
