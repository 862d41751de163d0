#pragma once

#include "libdecision/ids.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace kingcuptrail {

/// Runs one action after a time. Starting again or destroying it drops the action before, also one whose time has just
/// come.
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

/// The waits between retries: doubled at each failure up to a limit.
/// Load: a whole fleet that lost the platform at the same moment. Harm: without growth it loads a platform that is
/// coming back up; without jitter it comes back in step. Limits: up to half of each wait is random, and the longest
/// wait bounds how long after an outage a process may still be behind.
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
