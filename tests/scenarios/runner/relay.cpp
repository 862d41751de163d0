#include "relay.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <set>

namespace kingcuptrail {

namespace {

    using asio::ip::tcp;

    constexpr auto holdPollInterval = std::chrono::milliseconds(20);
    constexpr std::size_t bufferBytes = std::size_t { 64 } * 1024;

    struct Connection : std::enable_shared_from_this<Connection> {
        struct End {
            explicit End(tcp::socket connected)
                : socket(std::move(connected))
            {
            }

            explicit End(asio::io_context& context)
                : socket(context)
            {
            }

            tcp::socket socket;
            std::array<char, bufferBytes> buffer {};
        };

        Connection(tcp::socket client, asio::io_context& context, std::shared_ptr<const bool> held)
            : near(std::move(client))
            , far(context)
            , isHeld(std::move(held))
        {
        }

        void readAndForward(End& from, End& to)
        {
            if (*isHeld) {
                retryWhileHeld(from, to);
                return;
            }
            from.socket.async_read_some(asio::buffer(from.buffer), [self = shared_from_this(), &from, &to](asio::error_code error, std::size_t size) {
                if (error)
                    self->end();
                else if (self->isSilent)
                    self->readAndForward(from, to);
                else
                    self->forward(from, to, size);
            });
        }

        void retryWhileHeld(End& from, End& to)
        {
            const auto timer = std::make_shared<asio::steady_timer>(from.socket.get_executor(), holdPollInterval);
            timer->async_wait([self = shared_from_this(), timer, &from, &to](asio::error_code) {
                if (!self->isEnded)
                    self->readAndForward(from, to);
            });
        }

        void forward(End& from, End& to, std::size_t size)
        {
            asio::async_write(to.socket, asio::buffer(from.buffer.data(), size), [self = shared_from_this(), &from, &to](asio::error_code error, std::size_t) {
                if (error)
                    self->end();
                else
                    self->readAndForward(from, to);
            });
        }

        /// Handles the close of one end: closes both sockets, unless the connection is silent.
        void end()
        {
            isEnded = true;
            if (!isSilent)
                close(false);
        }

        void close(bool reset)
        {
            asio::error_code ignored;
            for (End* side : { &near, &far }) {
                if (reset)
                    side->socket.set_option(asio::socket_base::linger(true, 0), ignored);
                side->socket.close(ignored);
            }
            isEnded = true;
        }

        End near;
        End far;
        std::shared_ptr<const bool> isHeld;
        bool isSilent = false;
        bool isEnded = false;
    };

}

struct Relay::Private : std::enable_shared_from_this<Private> {
    Private(asio::io_context& ioContext, std::uint16_t targetPort)
        : context(ioContext)
        , acceptor(ioContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , target(asio::ip::address_v4::loopback(), targetPort)
    {
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](asio::error_code error, tcp::socket socket) {
            if (error)
                return;
            self->connect(std::make_shared<Connection>(std::move(socket), self->context, self->isHeld));
            self->accept();
        });
    }

    void connect(const std::shared_ptr<Connection>& connection)
    {
        std::erase_if(connections, [](const auto& connectionEntry) { return connectionEntry->isEnded && !connectionEntry->isSilent; });
        connections.insert(connection);
        connection->far.socket.async_connect(target, [connection](asio::error_code error) {
            if (error) {
                connection->close(true);
                return;
            }
            asio::error_code ignored;
            connection->near.socket.set_option(tcp::no_delay(true), ignored);
            connection->far.socket.set_option(tcp::no_delay(true), ignored);
            connection->readAndForward(connection->near, connection->far);
            connection->readAndForward(connection->far, connection->near);
        });
    }

    asio::io_context& context;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    std::shared_ptr<bool> isHeld = std::make_shared<bool>(false);
    std::set<std::shared_ptr<Connection>> connections;
};

Relay::Relay(asio::io_context& context, std::uint16_t target)
    : m_d(std::make_shared<Private>(context, target))
{
    m_d->accept();
}

Relay::~Relay()
{
    cut();
    asio::error_code ignored;
    m_d->acceptor.close(ignored);
}

std::uint16_t Relay::port() const
{
    return m_d->acceptor.local_endpoint().port();
}

void Relay::silence()
{
    for (const auto& connection : m_d->connections)
        connection->isSilent = true;
}

void Relay::cut()
{
    for (const auto& connection : m_d->connections)
        connection->close(true);
    m_d->connections.clear();
}

void Relay::hold(bool isHeld)
{
    *m_d->isHeld = isHeld;
}

std::size_t Relay::connectionCount() const
{
    std::size_t count = 0;
    for (const auto& connection : m_d->connections)
        count += connection->isEnded ? 0 : 1;
    return count;
}

}
