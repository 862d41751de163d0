#include "pacing.h"

#include "ranking.h"

#include <algorithm>

namespace kingcuptrail {

// At a fixed interval the heartbeats of a process with thousands of links, such as a balancer of 4,500 upstreams, would
// exceed the few kilobytes a second allowed for control traffic. The interval grows so that all links together stay within
// the budget. A silent link is then detected later, while a disconnect that the transport reports is still detected at once.
Millis heartbeatInterval(std::size_t links, const PacingOptions& options)
{
    if (options.budgetBytesPerSecond == 0)
        return options.baseInterval;
    const std::uint64_t milliBytes = static_cast<std::uint64_t>(links) * options.bytesPerHeartbeat * 1000;
    const std::uint64_t needed = (milliBytes + options.budgetBytesPerSecond - 1) / options.budgetBytesPerSecond;
    return std::max(options.baseInterval, static_cast<Millis>(needed));
}

Millis silenceLimit(Millis interval, const PacingOptions& options)
{
    return interval * (static_cast<Millis>(options.missedHeartbeats) + 1);
}

bool isSelectedToPush(std::uint64_t self, std::uint64_t peer, std::uint32_t links, std::uint32_t copies)
{
    return links <= copies || rankWeight(self, peer) % links < copies;
}

}
