#include "history.h"

#include <array>
#include <xxhash.h>

namespace kingcuptrail {

std::uint64_t fingerprint(const std::vector<HistoryEvent>& events)
{
    std::uint64_t hash = 0;
    for (const HistoryEvent& event : events) {
        const std::array<std::uint64_t, 10> words {
            hash,
            static_cast<std::uint64_t>(event.kind),
            event.actor,
            event.service,
            event.flow,
            event.request,
            event.key,
            event.value,
            event.other,
            static_cast<std::uint64_t>(event.at),
        };
        hash = XXH3_64bits(words.data(), sizeof(words));
    }
    return hash;
}

}
