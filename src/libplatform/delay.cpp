#include "delay.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <random>

namespace kingcuptrail {

struct Delay::Private {
    explicit Private(asio::io_context& context)
        : timer(context)
    {
    }

    asio::steady_timer timer;
    /// Replaced by each start(). Completions hold a weak pointer, so that one already queued when its action was discarded does
    /// nothing.
    std::shared_ptr<std::function<void()>> action;
};

Delay::Delay(asio::io_context& context)
    : m_d(std::make_unique<Private>(context))
{
}

Delay::~Delay()
{
    cancel();
}

void Delay::start(Millis after, std::function<void()> action)
{
    m_d->action = std::make_shared<std::function<void()>>(std::move(action));
    m_d->timer.expires_after(std::chrono::milliseconds(after));
    m_d->timer.async_wait([weak = std::weak_ptr(m_d->action)](asio::error_code error) {
        const auto due = weak.lock();
        if (!error && due)
            (*due)();
    });
}

void Delay::cancel()
{
    m_d->action.reset();
    asio::error_code ignored;
    m_d->timer.cancel(ignored);
}

Backoff::Backoff(Millis first, Millis max)
    : m_first(std::max<Millis>(first, 1))
    , m_max(std::max(max, m_first))
{
}

Millis Backoff::next()
{
    constexpr unsigned maxDoublings = 16;
    static thread_local std::mt19937_64 random { std::random_device()() };
    const Millis whole = std::min(m_max, m_first << std::min(m_failures, maxDoublings));
    ++m_failures;
    return whole - std::uniform_int_distribution<Millis>(0, whole / 2)(random);
}

}
