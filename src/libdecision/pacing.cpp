#include "pacing.h"

#include "ranking.h"

#include <algorithm>

namespace kingcuptrail {

// Load: a process with thousands of links, as a balancer before 4,500 targets.
// Harm: at a fixed interval its heartbeats grow with the fleet and leave the few kilobytes a second that control may take.
// Limit: the interval stretches so that all links together stay inside the budget. The price is that silence on a link is
// seen later; a peer's end that the transport reports is seen at once all the same.
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
    return interval * (static_cast<Millis>(options.missed) + 1);
}

bool isPusher(std::uint64_t self, std::uint64_t peer, std::uint32_t links, std::uint32_t copies)
{
    return links <= copies || rankWeight(self, peer) % links < copies;
}

}
