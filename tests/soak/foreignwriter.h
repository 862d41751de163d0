#pragma once

#include "fleet.h"

#include <functional>
#include <random>
#include <string>

namespace kingcuptrail {

/// Another program that writes objects among those of the deployment: text that is no UTF-8, numbers beyond every range, deep
/// nesting, entries of the wrong type. The operator changes the idle limit meanwhile. Drawn from a random sequence of its own.
class ForeignWriter {
public:
    using Log = std::function<void(const std::string&)>;

    ForeignWriter(asio::io_context& context, Fleet& fleet, std::uint32_t seed, Log log);

    void start() { scheduleNext(); }
    void stop() { m_timer.cancel(); }

private:
    void scheduleNext();
    void inject();
    std::uint32_t randomBelow(std::uint32_t below) { return static_cast<std::uint32_t>(m_random() >> 8) % below; }

    Fleet& m_fleet;
    Log m_log;
    Delay m_timer;
    std::minstd_rand m_random;
};

}
