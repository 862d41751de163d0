#pragma once

#include <cstdint>
#include <mutex>
#include <spdlog/sinks/base_sink.h>

namespace kingcuptrail {

/// How many lines about single flows a process writes.
/// Load: thousands of openings a second, each of which is a decision worth a line. Harm: lines cost the processor more than
/// the packets do. What is left out is counted and said.
class LineBudget {
public:
    bool take(std::uint64_t nowMillis);
    /// How many were left out since the last call.
    std::uint64_t takeLeftOut();

private:
    double m_tokens = 200;
    std::uint64_t m_refilledAt = 0;
    std::uint64_t m_leftOut = 0;
};

/// Writes lines to standard output without ever waiting for its reader: what the pipe does not take is left out.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex> {
public:
    NonBlockingSink();

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override { }

private:
    /// The rest of a line that the pipe took only a part of, so that the next line does not begin in its middle.
    std::string m_rest;
};

}
