#pragma once

#include "http.h"
#include "libdecision/ids.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace kingcuptrail {

struct HttpCallOptions {
    /// Limit for establishing the connection, in milliseconds.
    Millis connectTimeout = 1000;
    /// Limit for the whole exchange, in milliseconds; 0 means no limit.
    Millis timeout = 10000;
    /// Maximum time between two receptions once the server has begun to answer, in milliseconds; 0 means no limit.
    Millis silenceLimit = 0;
    /// Time without any TCP acknowledgement from the peer's host after which the connection counts as lost, in milliseconds; 0
    /// means that only the limits above apply. Detects that a device on the path has dropped its connection state while
    /// the client waits for an answer.
    Millis keepAliveTimeout = 0;
    /// Maximum size of a collected body. A body passed on in chunks is not limited, since it is not buffered.
    std::size_t maxBodyBytes = std::size_t { 16 } * 1024 * 1024;
};

/// How an exchange ended.
struct HttpOutcome {
    HttpError error = HttpError::None;
    /// Whether any byte of the request may have reached the server. If false, the request certainly did not run.
    bool mayHaveReached = false;
};

/// One request to one server over its own connection. The object keeps itself alive until onDone has been called or
/// cancel() is called; releasing all outside references does not end the call.
class HttpCall {
public:
    struct Handlers {
        /// Called once, with the complete response (its body is empty if onChunk is set), or without one and with the reason
        /// in the outcome.
        std::function<void(std::optional<HttpResponse>, const HttpOutcome&)> onDone;
        /// If set, receives the body as it arrives; the body is then not collected.
        std::function<void(std::string_view chunk)> onChunk;
        /// If set, called with status and headers before any chunk.
        std::function<void(const HttpResponse& head)> onHead;
    };

    virtual ~HttpCall() = default;

    /// Closes the connection; onDone is not called.
    virtual void cancel() = 0;

    /// Stops reading from the server until resume() is called, so that TCP flow control slows the server down. Data that was
    /// already read, at most one buffer, is still passed to the handlers.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

std::shared_ptr<HttpCall> startHttpCall(asio::io_context& context, const asio::ip::tcp::endpoint& server,
    HttpRequest request, const HttpCallOptions& options, HttpCall::Handlers handlers);

}
