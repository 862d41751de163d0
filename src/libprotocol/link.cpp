#include "link.h"

#include <algorithm>
#include <asio/write.hpp>

namespace kingcuptrail {

using std::chrono::steady_clock;

namespace {

    /// Maximum number of bytes read from a socket at once.
    constexpr std::size_t readBufferBytes = std::size_t { 64 } * 1024;

    /// The timeouts are checked at an interval that is a fraction of the shortest applicable timeout, within these bounds.
    constexpr Millis minCheckInterval = 100;
    constexpr Millis maxCheckInterval = 5000;
    constexpr Millis checksPerTimeout = 8;

    /// A check that runs later than scheduled by more than this indicates that the process was paused.
    constexpr Millis maxCheckDelay = 1000;

    LinkError connectError(const asio::error_code& error)
    {
        if (!error)
            return LinkError::None;
        return error == asio::error::connection_refused ? LinkError::ConnectRefused : LinkError::ConnectFailed;
    }

    bool hasPassed(steady_clock::time_point since, Millis limit)
    {
        return steady_clock::now() - since > std::chrono::milliseconds(limit);
    }

}

Link::Link(asio::ip::tcp::socket socket, const LinkOptions& options)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_options(options)
    , m_startedAt(steady_clock::now())
    , m_lastReceivedAt(m_startedAt)
    , m_partialSince(m_startedAt)
    , m_writeStartedAt(m_startedAt)
    , m_lastCheckAt(m_startedAt)
{
}

void Link::start(Handlers handlers)
{
    m_handlers = std::move(handlers);
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    m_startedAt = steady_clock::now();
    m_lastReceivedAt = m_startedAt;
    m_lastCheckAt = m_startedAt;
    read();
    scheduleTimeoutCheck();
}

void Link::send(Bytes frame)
{
    if (m_closed)
        return;
    m_outputBytes += frame.size();
    m_output.push_back(std::move(frame));
    write();
}

bool Link::sendDroppable(Bytes frame)
{
    if (m_closed)
        return false;
    if (m_outputBytes + frame.size() > m_options.sendLimitBytes) {
        ++m_droppedFrames;
        return false;
    }
    send(std::move(frame));
    return true;
}

void Link::close(bool flush)
{
    if (m_closed)
        return;
    m_lastError = LinkError::ClosedHere;
    m_handlers.onClosed = nullptr;
    m_handlers.onFrame = nullptr;
    if (flush && !m_output.empty()) {
        m_closeAfterFlush = true;
        return;
    }
    closeSocket();
}

// A balancer may have thousands of links, most of them idle, and a read buffer for each would dominate its memory use.
// Therefore a link waits until the socket is readable and then reads into a buffer shared by all links of the thread.
void Link::read()
{
    auto self = shared_from_this();
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self](asio::error_code waitError) {
        if (self->m_closed)
            return;
        thread_local std::vector<std::uint8_t> buffer(readBufferBytes);
        asio::error_code error = waitError;
        const std::size_t count = error ? 0 : self->m_socket.read_some(asio::buffer(buffer), error);
        if (error && error != asio::error::would_block) {
            self->fail(LinkError::PeerClosed);
            return;
        }
        self->handleBytes({ buffer.data(), count });
        if (!self->m_closed)
            self->read();
    });
}

void Link::handleBytes(std::span<const std::uint8_t> bytes)
{
    m_lastReceivedAt = steady_clock::now();
    m_bytesReceived += bytes.size();
    if (!m_reader.hasPartial())
        m_partialSince = m_lastReceivedAt;
    m_reader.append(bytes);
    // A handler that closes the link clears m_handlers; the copy keeps the running function object alive.
    const auto onFrame = m_handlers.onFrame;
    while (const auto view = m_reader.next()) {
        m_hasReceivedFrame = true;
        m_partialSince = m_lastReceivedAt;
        if (m_handlers.onFrame)
            onFrame(*this, *view->frame, view->raw);
        if (m_closed)
            return;
    }
    if (m_reader.lastError() == FrameError::TooLarge)
        fail(LinkError::FrameTooLarge);
    else if (m_reader.lastError() != FrameError::None)
        fail(LinkError::BadFrame);
}

void Link::write()
{
    if (m_isWriting || m_output.empty())
        return;
    m_isWriting = true;
    m_writeStartedAt = steady_clock::now();
    auto self = shared_from_this();
    asio::async_write(m_socket, asio::buffer(m_output.front()), [self](asio::error_code error, std::size_t count) {
        self->m_isWriting = false;
        if (self->m_closed)
            return;
        if (error) {
            self->fail(LinkError::PeerClosed);
            return;
        }
        self->m_bytesSent += count;
        self->m_outputBytes -= self->m_output.front().size();
        self->m_output.pop_front();
        if (self->m_output.empty() && self->m_closeAfterFlush) {
            self->closeSocket();
            return;
        }
        self->write();
    });
}

void Link::scheduleTimeoutCheck()
{
    auto self = shared_from_this();
    m_checkInterval = checkInterval();
    m_timer.expires_after(std::chrono::milliseconds(m_checkInterval));
    m_timer.async_wait([self](asio::error_code error) {
        if (error || self->m_closed)
            return;
        self->resetTimeoutsAfterPause();
        const LinkError reason = self->expiredTimeout();
        if (reason != LinkError::None)
            self->fail(reason);
        else
            self->scheduleTimeoutCheck();
    });
}

// With thousands of mostly idle links, checking each of them ten times a second would cost more processor time than their
// heartbeats. The interval is an eighth of the shortest applicable timeout, so that a timeout is detected at most that
// much late.
Millis Link::checkInterval() const
{
    const bool isHandshake = !m_hasReceivedFrame;
    const bool isFrameUnderWay = m_isWriting || m_reader.hasPartial();
    Millis limit = m_options.silenceLimit > 0 ? m_options.silenceLimit : maxCheckInterval * checksPerTimeout;
    if (isHandshake)
        limit = std::min(limit, m_options.handshakeTimeout);
    if (isFrameUnderWay)
        limit = std::min(limit, m_options.frameTimeout);
    return std::clamp(limit / checksPerTimeout, minCheckInterval, maxCheckInterval);
}

// After a pause of this process, timers fire before the data waiting on the sockets is read. Every peer would appear
// silent, and every link would be closed with its received frames unread. Since the delay was on this side, the timeouts
// start again.
void Link::resetTimeoutsAfterPause()
{
    const auto now = steady_clock::now();
    if (hasPassed(m_lastCheckAt, m_checkInterval + maxCheckDelay)) {
        m_lastReceivedAt = now;
        m_partialSince = now;
        m_writeStartedAt = now;
    }
    m_lastCheckAt = now;
}

LinkError Link::expiredTimeout() const
{
    if (!m_hasReceivedFrame && hasPassed(m_startedAt, m_options.handshakeTimeout))
        return LinkError::HandshakeTimeout;
    if (m_options.silenceLimit > 0 && hasPassed(m_lastReceivedAt, m_options.silenceLimit))
        return LinkError::Silent;
    if (m_reader.hasPartial() && hasPassed(m_partialSince, m_options.frameTimeout))
        return LinkError::SlowFrame;
    if (m_isWriting && hasPassed(m_writeStartedAt, m_options.frameTimeout))
        return LinkError::SendStalled;
    return LinkError::None;
}

void Link::fail(LinkError reason)
{
    if (m_closed)
        return;
    m_lastError = reason;
    closeSocket();
    auto onClosed = std::move(m_handlers.onClosed);
    m_handlers = {};
    if (onClosed)
        onClosed(*this, reason);
}

void Link::closeSocket()
{
    m_closed = true;
    asio::error_code ignored;
    m_timer.cancel(ignored);
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

struct LinkDialer::Attempt {
    explicit Attempt(asio::io_context& context)
        : socket(context)
        , timer(context)
    {
    }

    void finish(const LinkOptions& options, LinkError reason)
    {
        if (!handler)
            return;
        timer.cancel();
        Handler done = std::move(handler);
        handler = nullptr;
        if (reason == LinkError::None)
            done(std::make_shared<Link>(std::move(socket), options), LinkError::None);
        else
            done(nullptr, reason);
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    Handler handler;
};

LinkDialer::LinkDialer(asio::io_context& context, const LinkOptions& options)
    : m_context(context)
    , m_options(options)
{
}

LinkDialer::~LinkDialer()
{
    cancel();
}

void LinkDialer::dial(const asio::ip::tcp::endpoint& endpoint, Millis timeout, Handler handler)
{
    cancel();
    auto attempt = std::make_shared<Attempt>(m_context);
    m_attempt = attempt;
    attempt->handler = std::move(handler);
    attempt->timer.expires_after(std::chrono::milliseconds(timeout));
    attempt->timer.async_wait([attempt, options = m_options](asio::error_code error) {
        if (!error)
            attempt->finish(options, LinkError::ConnectTimeout);
    });
    attempt->socket.async_connect(endpoint, [attempt, options = m_options](asio::error_code error) {
        attempt->finish(options, connectError(error));
    });
}

void LinkDialer::cancel()
{
    if (!m_attempt)
        return;
    m_attempt->handler = nullptr;
    m_attempt->timer.cancel();
    asio::error_code ignored;
    m_attempt->socket.close(ignored);
    m_attempt.reset();
}

}
