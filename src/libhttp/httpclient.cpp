#include "httpclient.h"

#include "httpmessagereader.h"

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <netinet/tcp.h>

namespace kingcuptrail {

namespace {

    constexpr std::size_t readBytes = std::size_t { 16 } * 1024;

    bool isSafeText(std::string_view text, bool mayHoldSpaces)
    {
        return std::all_of(text.begin(), text.end(), [mayHoldSpaces](char letter) {
            const auto byte = static_cast<unsigned char>(letter);
            return byte > ' ' || (mayHoldSpaces && (byte == ' ' || byte == '\t'));
        });
    }

    // Prevents request splitting: a line break in text from an end user would end the header early, and the server would
    // read the rest as a separate request. Any control character is rejected before a connection is made.
    bool isSafeRequest(const HttpRequest& request)
    {
        if (request.method.empty() || request.target.empty() || !isSafeText(request.method, false) || !isSafeText(request.target, false))
            return false;
        return std::all_of(request.headers.begin(), request.headers.end(), [](const HttpHeader& header) {
            return !header.name.empty() && isSafeText(header.name, false) && header.name.find(':') == std::string::npos
                && isSafeText(header.value, true);
        });
    }

    /// Headers that frame the message. Values given by the user are dropped; the client sets the values that apply to its
    /// connection.
    bool isFramingHeader(std::string_view name)
    {
        constexpr std::array<std::string_view, 4> framing { "Content-Length", "Transfer-Encoding", "Connection", "Expect" };
        return std::any_of(framing.begin(), framing.end(), [name](std::string_view known) { return isSameHeaderName(name, known); });
    }

    std::string serialiseHead(const HttpRequest& request, const asio::ip::tcp::endpoint& server)
    {
        std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
        if (headerValue(request.headers, "Host").empty())
            head += "Host: " + server.address().to_string() + ":" + std::to_string(server.port()) + "\r\n";
        for (const HttpHeader& header : request.headers) {
            if (!isFramingHeader(header.name))
                head.append(header.name).append(": ").append(header.value).append("\r\n");
        }
        if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
            head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        return head + "Connection: close\r\n\r\n";
    }

    /// The pending asynchronous operations keep the call alive. Each completion checks m_ended first, so that no handler is
    /// called after the end.
    class Call final : public HttpCall, public std::enable_shared_from_this<Call> {
    public:
        Call(asio::io_context& context, const HttpCallOptions& options, Handlers handlers)
            : m_socket(context)
            , m_deadline(context)
            , m_waitTimer(context)
            , m_options(options)
            , m_handlers(std::move(handlers))
            , m_reader(HttpMessageReader::Kind::Response, options.maxBodyBytes)
        {
        }

        void start(const asio::ip::tcp::endpoint& server, HttpRequest request);
        void cancel() override;
        void pause() override;
        void resume() override;

    private:
        void connect(const asio::ip::tcp::endpoint& server);
        void handleConnected();
        void enableKeepAlive();
        void write();
        void read();
        void handleBytes(std::size_t count);
        void restartSilenceTimer();
        void succeed();
        void fail(HttpError error);
        void finish(std::optional<HttpResponse> response, HttpError error);
        void end();
        HttpResponse extractHead();

        asio::ip::tcp::socket m_socket;
        asio::steady_timer m_deadline;
        /// Limits first the time to connect, later the time between receptions.
        asio::steady_timer m_waitTimer;
        HttpCallOptions m_options;
        Handlers m_handlers;
        HttpMessageReader m_reader;
        std::string m_head;
        std::string m_body;
        std::array<char, readBytes> m_input {};
        HttpResponse m_response;
        bool m_mayHaveReached = false;
        bool m_hasReceivedBytes = false;
        bool m_isReading = false;
        bool m_paused = false;
        bool m_ended = false;
    };

    void Call::start(const asio::ip::tcp::endpoint& server, HttpRequest request)
    {
        auto self = shared_from_this();
        if (!isSafeRequest(request)) {
            asio::post(m_socket.get_executor(), [self] { self->fail(HttpError::BadMessage); });
            return;
        }
        m_head = serialiseHead(request, server);
        m_body = std::move(request.body);
        if (request.method == "HEAD")
            m_reader.setExpectsNoBody();
        HttpMessageReader::Handlers handlers;
        handlers.onHead = [this] {
            m_response = extractHead();
            if (m_handlers.onHead)
                m_handlers.onHead(m_response);
        };
        if (m_handlers.onChunk)
            handlers.onBody = [this](std::string_view chunk) { m_handlers.onChunk(chunk); };
        m_reader.setHandlers(std::move(handlers));
        if (m_options.timeout > 0) {
            m_deadline.expires_after(std::chrono::milliseconds(m_options.timeout));
            m_deadline.async_wait([self](asio::error_code error) {
                if (!error)
                    self->fail(HttpError::Timeout);
            });
        }
        connect(server);
    }

    void Call::connect(const asio::ip::tcp::endpoint& server)
    {
        auto self = shared_from_this();
        m_waitTimer.expires_after(std::chrono::milliseconds(m_options.connectTimeout));
        m_waitTimer.async_wait([self](asio::error_code error) {
            if (!error && !self->m_mayHaveReached)
                self->fail(HttpError::ConnectTimeout);
        });
        m_socket.async_connect(server, [self](asio::error_code error) {
            if (self->m_ended)
                return;
            if (error)
                self->fail(HttpError::ConnectFailed);
            else
                self->handleConnected();
        });
    }

    void Call::handleConnected()
    {
        m_waitTimer.cancel();
        asio::error_code ignored;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        if (m_options.keepAliveTimeout > 0)
            enableKeepAlive();
        m_mayHaveReached = true;
        write();
        read();
    }

    // When a device between the two hosts has dropped its connection state, only unanswered keep-alive probes reveal it
    // while the client waits for an answer. TCP_USER_TIMEOUT limits how long sent bytes may stay unacknowledged.
    void Call::enableKeepAlive()
    {
        constexpr int probes = 2;
        constexpr Millis millisPerSecond = 1000;
        const int seconds = static_cast<int>(std::max<Millis>(m_options.keepAliveTimeout / millisPerSecond / (probes + 1), 1));
        const int limit = static_cast<int>(m_options.keepAliveTimeout);
        using Integer = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
        asio::error_code ignored;
        m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
        m_socket.set_option(Integer(seconds), ignored);
        m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>(seconds), ignored);
        m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>(probes), ignored);
        m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(limit), ignored);
    }

    void Call::write()
    {
        auto self = shared_from_this();
        const std::array<asio::const_buffer, 2> buffers { asio::buffer(m_head), asio::buffer(m_body) };
        // Write errors are ignored, and the read reports the outcome: a server that refuses a long body early closes the
        // connection during the write, and its answer is waiting in the socket.
        asio::async_write(m_socket, buffers, [self](asio::error_code, std::size_t) {
            self->m_head = {};
            self->m_body = {};
        });
    }

    void Call::read()
    {
        if (m_paused || m_isReading || m_ended)
            return;
        m_isReading = true;
        auto self = shared_from_this();
        m_socket.async_read_some(asio::buffer(m_input), [self](asio::error_code error, std::size_t count) {
            self->m_isReading = false;
            if (self->m_ended)
                return;
            if (error) {
                self->fail(HttpError::ConnectionLost);
                return;
            }
            self->handleBytes(count);
            self->read();
        });
    }

    void Call::handleBytes(std::size_t count)
    {
        m_hasReceivedBytes = true;
        restartSilenceTimer();
        const HttpError error = m_reader.feed({ m_input.data(), count });
        if (m_ended)
            return;
        if (error != HttpError::None)
            fail(error);
        else if (m_reader.isComplete())
            succeed();
    }

    // When a device on the path drops its connection state, bytes are lost without an error on either side. The timer ends
    // the call when nothing has been received for too long.
    void Call::restartSilenceTimer()
    {
        if (m_options.silenceLimit <= 0 || m_ended)
            return;
        auto self = shared_from_this();
        m_waitTimer.expires_after(std::chrono::milliseconds(m_options.silenceLimit));
        m_waitTimer.async_wait([self](asio::error_code error) {
            const bool isOverdue = self->m_waitTimer.expiry() <= std::chrono::steady_clock::now();
            if (!error && isOverdue && !self->m_paused)
                self->fail(HttpError::Silent);
        });
    }

    HttpResponse Call::extractHead()
    {
        return { .status = m_reader.status(), .headers = std::move(m_reader.headers()), .body = {} };
    }

    void Call::succeed()
    {
        m_response.body = std::move(m_reader.body());
        finish(std::move(m_response), HttpError::None);
    }

    void Call::fail(HttpError error)
    {
        finish(std::nullopt, error);
    }

    void Call::finish(std::optional<HttpResponse> response, HttpError error)
    {
        if (m_ended)
            return;
        auto onDone = std::move(m_handlers.onDone);
        end();
        if (onDone)
            onDone(std::move(response), { .error = error, .mayHaveReached = m_mayHaveReached });
    }

    void Call::cancel()
    {
        if (m_ended)
            return;
        end();
    }

    void Call::end()
    {
        m_ended = true;
        m_reader.stop();
        asio::error_code ignored;
        m_deadline.cancel(ignored);
        m_waitTimer.cancel(ignored);
        m_socket.close(ignored);
        // The handlers may be running and may hold a reference to this call, so they are released after the stack has
        // unwound.
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->m_handlers = {}; });
    }

    void Call::pause()
    {
        m_paused = true;
    }

    void Call::resume()
    {
        if (!m_paused || m_ended)
            return;
        m_paused = false;
        if (m_hasReceivedBytes)
            restartSilenceTimer();
        if (m_mayHaveReached)
            read();
    }

}

std::shared_ptr<HttpCall> startHttpCall(asio::io_context& context, const asio::ip::tcp::endpoint& server,
    HttpRequest request, const HttpCallOptions& options, HttpCall::Handlers handlers)
{
    auto call = std::make_shared<Call>(context, options, std::move(handlers));
    call->start(server, std::move(request));
    return call;
}

}
