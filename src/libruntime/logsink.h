#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <spdlog/sinks/base_sink.h>

namespace kingcuptrail {

/// Token bucket that limits the log lines about single flows. With thousands of openings a second and a line for each, the
/// lines would cost more processor time than the packets. Omitted lines are counted, and their number is logged.
class LogRateLimiter {
public:
    bool tryTakeToken(std::uint64_t nowMillis);
    /// Returns the number of lines omitted since the last call, and resets it.
    std::uint64_t takeOmittedCount();

private:
    double m_tokens = 200;
    std::uint64_t m_refilledAt = 0;
    std::uint64_t m_omitted = 0;
};

/// Writes lines to standard output without blocking: lines for which the pipe has no space are dropped and counted.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex> {
public:
    NonBlockingSink();

    std::uint64_t droppedLines() const { return m_dropped; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override { }

private:
    /// The rest of a line that was written in part. It is written before the next line, so that lines are not mixed.
    std::string m_rest;
    std::atomic<std::uint64_t> m_dropped = 0;
};

}
