#include "packetfaults.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

std::optional<FaultOptions> parseFaults(const std::string& json)
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    try {
        return FaultOptions {
            .duplicate = document.value("duplicate", 0.0),
            .drop = document.value("drop", 0.0),
            .delay = document.value("delayMs", Millis { 0 }),
            .loseSeenFlows = document.value("loseSeenFlows", false),
            .silentBalancers = document.value("silentBalancers", std::vector<std::size_t> {}),
        };
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

PacketFaults::PacketFaults(std::uint64_t seed)
    : m_random(seed)
{
}

void PacketFaults::apply(const FaultOptions& options)
{
    m_options = options;
    m_droppedFlows.clear();
    if (options.loseSeenFlows)
        m_droppedFlows = m_seenFlows;
}

std::vector<Millis> PacketFaults::copyDelays(FlowId flow)
{
    m_seenFlows.insert(flow);
    if (m_droppedFlows.contains(flow) || occurs(m_options.drop))
        return {};
    std::vector<Millis> copyDelays { randomDelay() };
    if (occurs(m_options.duplicate))
        copyDelays.push_back(randomDelay());
    return copyDelays;
}

bool PacketFaults::isSilent(std::size_t balancer) const
{
    return std::ranges::find(m_options.silentBalancers, balancer) != m_options.silentBalancers.end();
}

}
