#pragma once

#include "libdecision/ids.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace kingcuptrail {

/// A timer that runs one action after a delay. start(), cancel() and destruction discard a pending action, even if its delay
/// has just expired.
class Delay {
public:
    explicit Delay(asio::io_context& context);
    ~Delay();
    Delay(const Delay&) = delete;
    Delay& operator=(const Delay&) = delete;

    void start(Millis after, std::function<void()> action);
    void cancel();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

/// Exponential backoff with jitter: the delay doubles with each failure up to a maximum, and up to half of it is random.
/// When all processes lose the platform at once, the growth keeps their retries from overloading it as it recovers, and the
/// jitter keeps them from retrying at the same moment. The maximum bounds how long after an outage a process may still be out
/// of date.
class Backoff {
public:
    Backoff(Millis first, Millis max);

    Millis next();
    void reset() { m_failures = 0; }

private:
    Millis m_first;
    Millis m_max;
    unsigned m_failures = 0;
};

}
