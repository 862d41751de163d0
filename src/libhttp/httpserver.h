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
    /// How long a request may take to arrive whole, in milliseconds; a slower sender is cut off.
    Millis requestTimeout = 10000;
    /// How long a client may take no byte of a response that waits for it, in milliseconds.
    Millis writeTimeout = 10000;
    /// Streamed bytes that may wait for a slow client; the connection is closed beyond it.
    std::size_t maxStreamBytes = std::size_t { 16 } * 1024 * 1024;
    std::size_t maxConnections = 4096;
};

/// Answers one request. May be kept and used later; calls after the connection is gone do nothing. Dropping the last
/// reference without a whole response closes the connection.
class HttpResponder {
public:
    virtual ~HttpResponder() = default;

    virtual void respond(HttpResponse response) = 0;

    /// Begins a response of unknown length, sent in chunks.
    virtual void beginStream(int status, std::vector<HttpHeader> headers) = 0;
    virtual void writeChunk(std::string_view chunk) = 0;
    virtual void endStream() = 0;

    /// Closes the connection without a (whole) response.
    virtual void abort() = 0;

    /// Whether the client is still there.
    virtual bool isOpen() const = 0;

    /// Called once when the client goes away before the response was finished.
    virtual void setOnGone(std::function<void()> onGone) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/// A small HTTP/1.1 server for administration and for stand-ins. Lives in one io_context's thread. One request per
/// connection: bytes after it are refused, so that no second request can hide behind the first.
class HttpServer {
public:
    /// Nothing, with the reason in `error`, when the address cannot be bound.
    static std::unique_ptr<HttpServer> listen(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint,
        const HttpServerOptions& options, HttpHandler handler, asio::error_code& error);

    virtual ~HttpServer() = default;
    virtual asio::ip::tcp::endpoint localEndpoint() const = 0;
};

}
