#pragma once

#include "fleet.h"

#include <functional>
#include <random>
#include <string>

namespace kingcuptrail {

/// Replaces upstreams by others of another service at the same address, alone or with their hosts, while agents are paused or
/// killed, or the configuration changes often. Drawn from a random sequence of its own.
class AddressReuse {
public:
    using Log = std::function<void(const std::string&)>;

    AddressReuse(asio::io_context& context, Fleet& fleet, std::uint32_t seed, Log log);

    void start() { scheduleNext(); }
    void stop();

private:
    void scheduleNext();
    void inject();
    void replaceHost(SoakDaemon& daemon, SoakUpstream& upstream);
    void replaceUpstream(SoakDaemon& daemon, SoakUpstream& upstream);
    void changeConfigurations(unsigned count);
    std::string nextService(const SoakUpstream& upstream) const;
    SoakDaemon* randomAgent();
    std::uint32_t randomBelow(std::uint32_t below) { return static_cast<std::uint32_t>(m_random() >> 8) % below; }

    Fleet& m_fleet;
    Log m_log;
    Delay m_timer;
    Delay m_changeTimer;
    std::minstd_rand m_random;
};

}
