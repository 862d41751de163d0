#include "httpserver.h"

#include "httpmessagereader.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <deque>
#include <set>

namespace kingcuptrail {

namespace {

    constexpr std::size_t readBytes = std::size_t { 16 } * 1024;
    /// Time for which a closing connection waits for the client to read the last bytes and close.
    constexpr auto lingerTime = std::chrono::milliseconds(1000);
    /// Delay before accepting again after an error such as a lack of file descriptors, which would recur immediately.
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

    constexpr int statusBadRequest = 400;
    constexpr int statusRequestTimeout = 408;
    constexpr int statusTooLarge = 413;

    class Connection;

    /// State shared by the server and its connections. It outlives the server while a connection has a pending operation.
    struct SharedState {
        HttpServerOptions options;
        HttpHandler handler;
        std::set<std::shared_ptr<Connection>> connections;
    };

    std::string serialiseHead(int status, const std::vector<HttpHeader>& headers)
    {
        std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
        head.append(http_status_str(static_cast<http_status>(status))).append("\r\n");
        for (const HttpHeader& header : headers)
            head.append(header.name).append(": ").append(header.value).append("\r\n");
        return head + "Connection: close\r\n";
    }

    std::string serialiseChunk(std::string_view chunk)
    {
        std::array<char, 32> size {};
        const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", chunk.size());
        std::string text(size.data(), static_cast<std::size_t>(length));
        return text.append(chunk).append("\r\n");
    }

    /// One client connection: reads one request, passes it to the handler, writes the response and closes.
    class Connection final : public std::enable_shared_from_this<Connection> {
    public:
        Connection(asio::ip::tcp::socket socket, std::shared_ptr<SharedState> shared)
            : m_socket(std::move(socket))
            , m_requestTimer(m_socket.get_executor())
            , m_writeTimer(m_socket.get_executor())
            , m_shared(std::move(shared))
            , m_reader(HttpMessageReader::Kind::Request, m_shared->options.maxBodyBytes)
        {
        }

        void start();
        void respond(const HttpResponse& response);
        void beginStream(int status, const std::vector<HttpHeader>& headers);
        void writeChunk(std::string_view chunk);
        void endStream();
        void closeConnection();
        bool isOpen() const { return !m_closed && !m_isResponseQueued; }
        void setOnDisconnect(std::function<void()> onDisconnect);

    private:
        void read();
        void handleBytes(std::size_t count);
        void handleRequest();
        void refuse(int status);
        void queue(std::string bytes);
        void write();
        void startWriteTimer();
        void linger();

        asio::ip::tcp::socket m_socket;
        asio::steady_timer m_requestTimer;
        asio::steady_timer m_writeTimer;
        std::shared_ptr<SharedState> m_shared;
        HttpMessageReader m_reader;
        std::array<char, readBytes> m_input {};
        std::deque<std::string> m_output;
        std::size_t m_outputBytes = 0;
        std::function<void()> m_onDisconnect;
        bool m_isHead = false;
        bool m_isRequestDone = false;
        bool m_streaming = false;
        bool m_isWriting = false;
        bool m_isResponseQueued = false;
        bool m_closed = false;
    };

    /// Its destructor closes an unanswered connection, so that a request that is never answered does not keep it open.
    class Responder final : public HttpResponder {
    public:
        explicit Responder(std::shared_ptr<Connection> connection)
            : m_connection(std::move(connection))
        {
        }

        ~Responder() override
        {
            if (m_connection->isOpen())
                m_connection->closeConnection();
        }

        Responder(const Responder&) = delete;
        Responder& operator=(const Responder&) = delete;

        void respond(HttpResponse response) override { m_connection->respond(response); }
        void beginStream(int status, std::vector<HttpHeader> headers) override { m_connection->beginStream(status, headers); }
        void writeChunk(std::string_view chunk) override { m_connection->writeChunk(chunk); }
        void endStream() override { m_connection->endStream(); }
        void abort() override { m_connection->closeConnection(); }
        bool isOpen() const override { return m_connection->isOpen(); }
        void setOnDisconnect(std::function<void()> onDisconnect) override { m_connection->setOnDisconnect(std::move(onDisconnect)); }

    private:
        std::shared_ptr<Connection> m_connection;
    };

    void Connection::start()
    {
        auto self = shared_from_this();
        asio::error_code ignored;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        // A client that sends single bytes slowly would otherwise occupy one of the limited connections indefinitely. The
        // timeout covers the whole request, so that such bytes do not extend it.
        m_requestTimer.expires_after(std::chrono::milliseconds(m_shared->options.requestTimeout));
        m_requestTimer.async_wait([self](asio::error_code error) {
            if (!error && !self->m_isRequestDone)
                self->refuse(statusRequestTimeout);
        });
        read();
    }

    void Connection::read()
    {
        auto self = shared_from_this();
        m_socket.async_read_some(asio::buffer(m_input), [self](asio::error_code error, std::size_t count) {
            if (self->m_closed)
                return;
            if (error) {
                self->closeConnection();
                return;
            }
            self->handleBytes(count);
            if (!self->m_closed)
                self->read();
        });
    }

    void Connection::handleBytes(std::size_t count)
    {
        // Bytes after a refused or answered request are read and discarded, since closing with unread bytes would reset
        // the connection and the client could lose the response.
        if (m_isResponseQueued)
            return;
        if (m_isRequestDone) {
            closeConnection();
            return;
        }
        const HttpError error = m_reader.feed({ m_input.data(), count });
        if (error == HttpError::TooLarge)
            refuse(statusTooLarge);
        else if (error != HttpError::None || m_reader.hasLeftover())
            refuse(statusBadRequest);
        else if (m_reader.isComplete())
            handleRequest();
    }

    void Connection::handleRequest()
    {
        m_isRequestDone = true;
        m_requestTimer.cancel();
        HttpRequest request {
            .method = m_reader.method(),
            .target = std::move(m_reader.target()),
            .headers = std::move(m_reader.headers()),
            .body = std::move(m_reader.body()),
        };
        m_isHead = request.method == "HEAD";
        auto responder = std::make_shared<Responder>(shared_from_this());
        const std::shared_ptr<SharedState> shared = m_shared;
        if (shared->handler)
            shared->handler(std::move(request), std::move(responder));
    }

    void Connection::refuse(int status)
    {
        m_isRequestDone = true;
        respond({ .status = status, .headers = {}, .body = {} });
    }

    void Connection::respond(const HttpResponse& response)
    {
        if (!isOpen() || m_streaming)
            return;
        std::string message = serialiseHead(response.status, response.headers);
        message += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
        if (!m_isHead)
            message += response.body;
        m_isResponseQueued = true;
        m_onDisconnect = nullptr;
        queue(std::move(message));
    }

    void Connection::beginStream(int status, const std::vector<HttpHeader>& headers)
    {
        if (!isOpen() || m_streaming)
            return;
        m_streaming = true;
        queue(serialiseHead(status, headers) + "Transfer-Encoding: chunked\r\n\r\n");
    }

    void Connection::writeChunk(std::string_view chunk)
    {
        // An empty chunk would mark the end of the stream.
        if (!isOpen() || !m_streaming || chunk.empty())
            return;
        if (m_outputBytes + chunk.size() > m_shared->options.maxStreamBytes) {
            closeConnection();
            return;
        }
        queue(serialiseChunk(chunk));
    }

    void Connection::endStream()
    {
        if (!isOpen() || !m_streaming)
            return;
        m_isResponseQueued = true;
        m_onDisconnect = nullptr;
        queue("0\r\n\r\n");
    }

    void Connection::setOnDisconnect(std::function<void()> onDisconnect)
    {
        if (isOpen())
            m_onDisconnect = std::move(onDisconnect);
    }

    void Connection::queue(std::string bytes)
    {
        m_outputBytes += bytes.size();
        m_output.push_back(std::move(bytes));
        write();
    }

    void Connection::write()
    {
        if (m_isWriting || m_closed)
            return;
        if (m_output.empty()) {
            if (m_isResponseQueued)
                linger();
            return;
        }
        m_isWriting = true;
        startWriteTimer();
        auto self = shared_from_this();
        m_socket.async_write_some(asio::buffer(m_output.front()), [self](asio::error_code error, std::size_t count) {
            self->m_isWriting = false;
            if (self->m_closed)
                return;
            if (error) {
                self->closeConnection();
                return;
            }
            self->m_outputBytes -= count;
            if (count == self->m_output.front().size())
                self->m_output.pop_front();
            else
                self->m_output.front().erase(0, count);
            self->write();
        });
    }

    void Connection::startWriteTimer()
    {
        auto self = shared_from_this();
        m_writeTimer.expires_after(std::chrono::milliseconds(m_shared->options.writeTimeout));
        m_writeTimer.async_wait([self](asio::error_code error) {
            if (!error && self->m_isWriting)
                self->closeConnection();
        });
    }

    void Connection::linger()
    {
        asio::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        auto self = shared_from_this();
        m_writeTimer.expires_after(lingerTime);
        m_writeTimer.async_wait([self](asio::error_code error) {
            if (!error)
                self->closeConnection();
        });
    }

    void Connection::closeConnection()
    {
        if (m_closed)
            return;
        m_closed = true;
        asio::error_code ignored;
        m_requestTimer.cancel(ignored);
        m_writeTimer.cancel(ignored);
        m_socket.close(ignored);
        auto self = shared_from_this();
        m_shared->connections.erase(self);
        const auto onDisconnect = std::move(m_onDisconnect);
        m_onDisconnect = nullptr;
        if (onDisconnect)
            onDisconnect();
    }

    class Server final : public HttpServer {
    public:
        Server(asio::io_context& context, asio::ip::tcp::acceptor acceptor, const HttpServerOptions& options, HttpHandler handler)
            : m_acceptor(std::move(acceptor))
            , m_retryTimer(context)
            , m_shared(std::make_shared<SharedState>())
        {
            m_shared->options = options;
            m_shared->handler = std::move(handler);
            accept();
        }

        ~Server() override
        {
            asio::error_code ignored;
            m_acceptor.close(ignored);
            m_retryTimer.cancel(ignored);
            m_shared->handler = nullptr;
            const auto connections = m_shared->connections;
            for (const auto& connection : connections)
                connection->closeConnection();
        }

        Server(const Server&) = delete;
        Server& operator=(const Server&) = delete;

        asio::ip::tcp::endpoint localEndpoint() const override
        {
            asio::error_code ignored;
            return m_acceptor.local_endpoint(ignored);
        }

    private:
        void accept();
        void addConnection(asio::ip::tcp::socket socket);
        void scheduleAccept();

        asio::ip::tcp::acceptor m_acceptor;
        asio::steady_timer m_retryTimer;
        std::shared_ptr<SharedState> m_shared;
        /// Expires with the server. Checked by completions that were already queued and can no longer be cancelled.
        std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    };

    void Server::accept()
    {
        m_acceptor.async_accept([this, alive = std::weak_ptr<bool>(m_alive)](asio::error_code error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted || alive.expired())
                return;
            if (error) {
                scheduleAccept();
                return;
            }
            addConnection(std::move(socket));
            accept();
        });
    }

    void Server::addConnection(asio::ip::tcp::socket socket)
    {
        // Too many clients would exhaust file descriptors and buffers, and existing connections would fail. A connection
        // beyond the limit is therefore closed at once, before a buffer is allocated.
        if (m_shared->connections.size() >= m_shared->options.maxConnections)
            return;
        auto connection = std::make_shared<Connection>(std::move(socket), m_shared);
        m_shared->connections.insert(connection);
        connection->start();
    }

    void Server::scheduleAccept()
    {
        m_retryTimer.expires_after(acceptRetryDelay);
        m_retryTimer.async_wait([this, alive = std::weak_ptr<bool>(m_alive)](asio::error_code error) {
            if (!error && !alive.expired())
                accept();
        });
    }

}

std::unique_ptr<HttpServer> HttpServer::listen(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint,
    const HttpServerOptions& options, HttpHandler handler, asio::error_code& error)
{
    asio::ip::tcp::acceptor acceptor(context);
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return nullptr;
    return std::make_unique<Server>(context, std::move(acceptor), options, std::move(handler));
}

}
