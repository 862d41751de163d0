#include "logsink.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace kingcuptrail {

namespace {

    constexpr double tokensPerMilli = 0.1;
    constexpr double maxTokens = 200;

}

bool LogRateLimiter::tryTakeToken(std::uint64_t nowMillis)
{
    // The wall clock may jump back; the bucket is then not refilled before the next line.
    const std::uint64_t passed = nowMillis > m_refilledAt ? nowMillis - m_refilledAt : 0;
    m_refilledAt = nowMillis;
    m_tokens = std::min(maxTokens, m_tokens + tokensPerMilli * static_cast<double>(passed));
    if (m_tokens < 1) {
        ++m_omitted;
        return false;
    }
    m_tokens -= 1;
    return true;
}

std::uint64_t LogRateLimiter::takeOmittedCount()
{
    return std::exchange(m_omitted, 0);
}

NonBlockingSink::NonBlockingSink()
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void NonBlockingSink::sink_it_(const spdlog::details::log_msg& message)
{
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    std::string text = std::exchange(m_rest, {});
    const bool hadRest = !text.empty();
    text.append(formatted.data(), formatted.size());
    const auto written = write(STDOUT_FILENO, text.data(), text.size());
    if (written < 0)
        ++m_dropped;
    if (written < 0 && hadRest)
        m_rest = text.substr(0, text.size() - formatted.size());
    else if (written > 0 && static_cast<std::size_t>(written) < text.size())
        m_rest = text.substr(static_cast<std::size_t>(written));
}

}
