#include "historyrecorder.h"

#include <utility>
#include <xxhash.h>

namespace kingcuptrail {

void HistoryRecorder::append(HistoryEvent event)
{
    event.at = m_loop.nowMillis();
    if (event.who.empty())
        event.who = "model";
    m_events.push_back(std::move(event));
}

std::uint64_t fingerprint(const std::vector<HistoryEvent>& events)
{
    std::uint64_t hash = 0;
    for (const HistoryEvent& event : events) {
        const std::string line = toJsonLine(event);
        hash = XXH3_64bits_withSeed(line.data(), line.size(), hash);
    }
    return hash;
}

}
