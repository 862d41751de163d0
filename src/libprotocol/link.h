#pragma once

#include "framing.h"
#include "libdecision/ids.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace kingcuptrail {

/// Why a link ended or could not be made.
enum class LinkError : std::uint8_t {
    None,
    ConnectFailed,
    ConnectTimeout,
    HandshakeTimeout,
    PeerClosed,
    Silent,
    SendStalled,
    SlowFrame,
    BadFrame,
    FrameTooLarge,
    NotExpected,
    Goodbye,
    ClosedHere,
    /// The host answered that nothing listens at the address.
    ConnectRefused,
};

template <>
struct EnumNames<LinkError> {
    static constexpr std::array<std::string_view, 14> names {
        "none",
        "connectFailed",
        "connectTimeout",
        "handshakeTimeout",
        "peerClosed",
        "silent",
        "sendStalled",
        "slowFrame",
        "badFrame",
        "frameTooLarge",
        "notExpected",
        "goodbye",
        "closedHere",
        "connectRefused",
    };
};

struct LinkOptions {
    /// How long the peer may take to send its first frame, in milliseconds.
    Millis handshakeTimeout = 2000;
    /// How long a peer may say nothing before the link is given up, in milliseconds; 0 means for ever. A link whose
    /// path has lost track of it swallows bytes without an error: only missing heartbeats show it.
    Millis silenceLimit = 3000;
    /// How long one frame may take to arrive, and one write to finish, in milliseconds.
    Millis frameTimeout = 4000;
    /// Bytes that may wait to be written. Packets beyond it are dropped, as a full network queue drops them.
    std::size_t sendLimitBytes = std::size_t { 8 } * 1024 * 1024;
};

/// A TCP connection that carries frames. Lives in one io_context's thread.
class Link : public std::enable_shared_from_this<Link> {
public:
    struct Handlers {
        /// Called for each whole frame; `raw` is the frame with its prefix.
        std::function<void(Link&, const wire::Frame& frame, std::span<const std::uint8_t> raw)> onFrame;
        /// Called once, when the link has ended for any reason but a local close().
        std::function<void(Link&, LinkError)> onClosed;
    };

    /// Takes over a connected socket. Nothing happens before start().
    Link(asio::ip::tcp::socket socket, const LinkOptions& options);

    void start(Handlers handlers);

    /// Queues a frame that must not be lost while the link lives, such as a goodbye.
    void send(Bytes frame);

    /// Queues a packet; drops and counts it when too much is waiting already.
    bool sendDroppable(Bytes frame);

    /// Ends the link without telling the handlers. What is queued is still written when `flush` is set.
    void close(bool flush = false);

    Millis silenceLimit() const { return m_options.silenceLimit; }

    /// Adapts the limit to a peer that announced slower heartbeats; 0 means no limit.
    void setSilenceLimit(Millis limit) { m_options.silenceLimit = limit; }

    bool isOpen() const { return !m_closed; }
    LinkError lastReason() const { return m_lastReason; }
    std::uint64_t droppedFrames() const { return m_droppedFrames; }
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    void read();
    void handleBytes(std::span<const std::uint8_t> bytes);
    void write();
    void watch();
    void fail(LinkError reason);
    void shut();
    Millis watchPause() const;
    void forgiveOwnPause();
    LinkError overdue() const;

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    LinkOptions m_options;
    Handlers m_handlers;
    FrameReader m_reader;
    std::deque<Bytes> m_output;
    std::size_t m_outputBytes = 0;
    std::uint64_t m_droppedFrames = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    std::chrono::steady_clock::time_point m_startedAt;
    std::chrono::steady_clock::time_point m_heardAt;
    std::chrono::steady_clock::time_point m_partialSince;
    std::chrono::steady_clock::time_point m_writeSince;
    std::chrono::steady_clock::time_point m_watchedAt;
    Millis m_watchPause = 0;
    bool m_isWriting = false;
    bool m_heardFrame = false;
    bool m_closed = false;
    bool m_closeAfterFlush = false;
    LinkError m_lastReason = LinkError::None;
};

/// Connects to an endpoint given by IP number and port. The handler gets a link that is not started, or the reason.
/// Destroying the dialer gives the attempt up.
class LinkDialer {
public:
    using Handler = std::function<void(std::shared_ptr<Link>, LinkError)>;

    LinkDialer(asio::io_context& context, const LinkOptions& options);
    ~LinkDialer();
    LinkDialer(const LinkDialer&) = delete;
    LinkDialer& operator=(const LinkDialer&) = delete;

    void dial(const asio::ip::tcp::endpoint& endpoint, Millis timeout, Handler handler);
    void cancel();

private:
    struct Attempt;

    asio::io_context& m_context;
    LinkOptions m_options;
    std::shared_ptr<Attempt> m_attempt;
};

}
