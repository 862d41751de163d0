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
    /// Time within which the peer must send its first frame, in milliseconds.
    Millis handshakeTimeout = 2000;
    /// Time without any received byte after which the link is closed, in milliseconds; 0 means no limit. When a device on
    /// the path has dropped its connection state, bytes are lost without an error, and only missing heartbeats reveal it.
    Millis silenceLimit = 3000;
    /// Time within which one frame must arrive completely and one write must finish, in milliseconds.
    Millis frameTimeout = 4000;
    /// Maximum number of bytes queued for writing. Packets beyond it are dropped, as by a full network queue.
    std::size_t sendLimitBytes = std::size_t { 8 } * 1024 * 1024;
};

/// A TCP connection that carries frames. Must be used from the thread that runs its io_context.
class Link : public std::enable_shared_from_this<Link> {
public:
    struct Handlers {
        /// Called for each complete frame; `raw` is the frame with its prefix.
        std::function<void(Link&, const wire::Frame& frame, std::span<const std::uint8_t> raw)> onFrame;
        /// Called once when the link ends for any reason except a local close().
        std::function<void(Link&, LinkError)> onClosed;
    };

    /// Takes ownership of a connected socket. Reading begins with start().
    Link(asio::ip::tcp::socket socket, const LinkOptions& options);

    void start(Handlers handlers);

    /// Queues a frame regardless of the send limit, for frames that must not be dropped, such as a goodbye.
    void send(Bytes frame);

    /// Queues a packet. When the send limit would be exceeded, the packet is dropped and counted, and false is returned.
    bool sendDroppable(Bytes frame);

    /// Closes the link without calling the handlers. With `flush`, queued frames are written first.
    void close(bool flush = false);

    Millis silenceLimit() const { return m_options.silenceLimit; }

    /// Sets the silence limit, for a peer that announced a longer heartbeat interval; 0 means no limit.
    void setSilenceLimit(Millis limit) { m_options.silenceLimit = limit; }

    bool isOpen() const { return !m_closed; }
    LinkError lastError() const { return m_lastError; }
    std::uint64_t droppedFrames() const { return m_droppedFrames; }
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    void read();
    void handleBytes(std::span<const std::uint8_t> bytes);
    void write();
    void scheduleTimeoutCheck();
    void fail(LinkError reason);
    void closeSocket();
    Millis checkInterval() const;
    void resetTimeoutsAfterPause();
    LinkError expiredTimeout() const;

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
    std::chrono::steady_clock::time_point m_lastReceivedAt;
    std::chrono::steady_clock::time_point m_partialSince;
    std::chrono::steady_clock::time_point m_writeStartedAt;
    std::chrono::steady_clock::time_point m_lastCheckAt;
    Millis m_checkInterval = 0;
    bool m_isWriting = false;
    bool m_hasReceivedFrame = false;
    bool m_closed = false;
    bool m_closeAfterFlush = false;
    LinkError m_lastError = LinkError::None;
};

/// Connects to an endpoint given by IP address and port. The handler receives a link that is not started yet, or the reason
/// of the failure. Destroying the dialer cancels the attempt.
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
