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
    /// In milliseconds.
    Millis connectTimeout = 1000;
    /// For the whole exchange, in milliseconds; 0 means no limit.
    Millis timeout = 10000;
    /// How long the server may send nothing once it has begun to answer, in milliseconds; 0 means no limit.
    Millis silenceLimit = 0;
    /// How long the connection may be without a sign of the other host before it counts as lost, in milliseconds; 0 means
    /// that only the limits above end it. Finds a path that lost track of a connection while an answer is waited for.
    Millis pathSilenceLimit = 0;
    /// Largest body that is collected; one handed over in chunks is not limited, since it takes no memory here.
    std::size_t maxBodyBytes = std::size_t { 16 } * 1024 * 1024;
};

/// How an exchange ended.
struct HttpOutcome {
    HttpError error = HttpError::None;
    /// Whether any byte of the request may have reached the server. While it is false, the request did not run.
    bool mayHaveReached = false;
};

/// One request to one server over a connection of its own. Alive until its handler was called or it is cancelled;
/// dropping the last reference from outside does not end it.
class HttpCall {
public:
    struct Handlers {
        /// Called once. The response is whole (its body empty if onChunk took it), or nothing and the outcome says why.
        std::function<void(std::optional<HttpResponse>, const HttpOutcome&)> onDone;
        /// When set, the body is handed over as it arrives and not collected.
        std::function<void(std::string_view chunk)> onChunk;
        /// When set, called when status and headers are there, before any chunk.
        std::function<void(const HttpResponse& head)> onHead;
    };

    virtual ~HttpCall() = default;

    /// Closes the connection; onDone is not called.
    virtual void cancel() = 0;

    /// Stops reading from the server until resumed, so that a slow reader's data waits in the server's socket. What
    /// was read before, one buffer at most, is still handed over.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

std::shared_ptr<HttpCall> startHttpCall(asio::io_context& context, const asio::ip::tcp::endpoint& server,
    HttpRequest request, const HttpCallOptions& options, HttpCall::Handlers handlers);

}
