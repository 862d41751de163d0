#include "addressreuse.h"

namespace kingcuptrail {

namespace {

    /// The shortest time until an address is used again, in milliseconds; above the daemons' addressReuseSeconds.
    constexpr Millis reuseTime = 2020;

}

AddressReuse::AddressReuse(asio::io_context& context, Fleet& fleet, std::uint32_t seed, Log log)
    : m_fleet(fleet)
    , m_log(std::move(log))
    , m_timer(context)
    , m_changeTimer(context)
    , m_random(seed)
{
}

void AddressReuse::stop()
{
    m_timer.cancel();
    m_changeTimer.cancel();
}

void AddressReuse::scheduleNext()
{
    inject();
    m_timer.start(100 + randomBelow(700), [this] { scheduleNext(); });
}

void AddressReuse::inject()
{
    const std::uint32_t kind = randomBelow(4);
    SoakDaemon* daemon = randomAgent();
    SoakUpstream* upstream = daemon ? m_fleet.upstreamOf(*daemon) : nullptr;
    if (kind == 0) {
        const unsigned count = 5 + randomBelow(40);
        m_log("change configuration " + std::to_string(count) + " times");
        changeConfigurations(count);
    } else if (upstream && kind == 1) {
        replaceUpstream(*daemon, *upstream);
    } else if (upstream) {
        replaceHost(*daemon, *upstream);
    }
}

SoakDaemon* AddressReuse::randomAgent()
{
    std::vector<SoakDaemon*> agents;
    for (const auto& daemon : m_fleet.daemons()) {
        const SoakUpstream* upstream = m_fleet.upstreamOf(*daemon);
        if (upstream && !upstream->isReplaced() && !daemon->isReplaced)
            agents.push_back(daemon.get());
    }
    return agents.empty() ? nullptr : agents[randomBelow(static_cast<std::uint32_t>(agents.size()))];
}

// The last upstream of a service is replaced by one of the same service, so that callers can be served.
std::string AddressReuse::nextService(const SoakUpstream& upstream) const
{
    const std::string& service = upstream.options().service;
    if (m_fleet.countUpstreams(service) < 2)
        return service;
    return service == "board" ? "intake" : "board";
}

void AddressReuse::replaceHost(SoakDaemon& daemon, SoakUpstream& upstream)
{
    const HostReplacement replacement { .service = nextService(upstream), .downTime = reuseTime + randomBelow(800), .reportDelay = Millis { randomBelow(2) } * randomBelow(1500), .isPlanned = randomBelow(3) == 0 };
    m_log("replace host " + daemon.name + " by one of " + replacement.service + (replacement.isPlanned ? ", planned" : ""));
    m_fleet.replaceHost(daemon, replacement);
}

void AddressReuse::replaceUpstream(SoakDaemon& daemon, SoakUpstream& upstream)
{
    const std::string service = nextService(upstream);
    const Millis downTime = reuseTime + randomBelow(800);
    const Millis reportDelay = Millis { randomBelow(2) } * randomBelow(1500);
    std::string agentFault = "running";
    switch (randomBelow(3)) {
    case 0:
        agentFault = "paused";
        m_fleet.pause(daemon, downTime - 400 + randomBelow(2000));
        break;
    case 1:
        agentFault = "killed";
        m_fleet.kill(daemon, 200 + randomBelow(3000));
        break;
    default:
        break;
    }
    const bool isSilent = randomBelow(2) == 0;
    m_log("replace upstream of " + daemon.name + " by one of " + service + ", agent " + agentFault + (isSilent ? ", connections silent" : ""));
    upstream.replace(downTime, upstream.options().host, service, reportDelay, isSilent, [] {});
}

void AddressReuse::changeConfigurations(unsigned count)
{
    m_fleet.changeConfiguration();
    if (count > 1)
        m_changeTimer.start(15 + randomBelow(150), [this, count] { changeConfigurations(count - 1); });
}

}
