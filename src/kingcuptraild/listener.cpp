#include "listener.h"

#include <asio/steady_timer.hpp>

namespace kingcuptrail {

namespace {

    /// Wait after a failed accept. Most often the process is out of file descriptors, and without the wait the accept loop
    /// would spin.
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(100);

}

// State of the accept loop, kept apart from the listener because pending handlers outlive it.
struct Listener::Private : std::enable_shared_from_this<Private> {
    explicit Private(asio::io_context& context)
        : acceptor(context)
        , timer(context)
    {
    }

    void accept();
    void retry();

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer timer;
    LinkOptions options;
    OnLink onLink;
    bool isStopped = false;
};

void Listener::Private::accept()
{
    acceptor.async_accept([self = shared_from_this()](asio::error_code error, asio::ip::tcp::socket socket) {
        if (self->isStopped)
            return;
        if (error) {
            self->retry();
            return;
        }
        self->onLink(std::make_shared<Link>(std::move(socket), self->options));
        if (!self->isStopped)
            self->accept();
    });
}

void Listener::Private::retry()
{
    timer.expires_after(acceptRetryDelay);
    timer.async_wait([self = shared_from_this()](asio::error_code error) {
        if (!error && !self->isStopped)
            self->accept();
    });
}

Listener::Listener(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint, const LinkOptions& options, OnLink onLink, const FailureHandler& onFailure)
    : m_private(std::make_shared<Private>(context))
{
    m_private->options = options;
    m_private->onLink = std::move(onLink);
    asio::error_code error;
    m_private->acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_private->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_private->acceptor.bind(endpoint, error);
    if (!error)
        m_private->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        onFailure(ChildFailure::BindFailed);
        return;
    }
    m_private->accept();
}

std::optional<std::uint16_t> Listener::port() const
{
    asio::error_code error;
    const auto bound = m_private->acceptor.local_endpoint(error);
    return error || bound.port() == 0 ? std::nullopt : std::optional(bound.port());
}

std::uint16_t Listener::localPort() const
{
    asio::error_code error;
    const auto endpoint = m_private->acceptor.local_endpoint(error);
    return error ? 0 : endpoint.port();
}

Listener::~Listener()
{
    m_private->isStopped = true;
    asio::error_code ignored;
    m_private->acceptor.close(ignored);
    m_private->timer.cancel(ignored);
}

}
