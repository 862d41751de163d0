#pragma once

#include "ids.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <span>
#include <vector>

namespace kingcuptrail {

/// The idle limit of an earlier configuration, in milliseconds, and the time at which the next one came into force.
struct FormerIdleLimit {
    Millis limit = 0;
    Millis until = 0;

    bool operator==(const FormerIdleLimit&) const = default;
};

/// The same for another process, which has a clock of its own: `age` is the time since then, in milliseconds.
struct IdleLimitAge {
    Millis limit = 0;
    Millis age = 0;

    bool operator==(const IdleLimitAge&) const = default;
};

/// How long flows without packets have to be kept. A flow keeps the longest limit that was in force since its last packet, so that
/// a shorter one does not end flows that their upstreams still hold.
struct IdleLimits {
    /// The limit of the configuration in force, in milliseconds; nothing before a configuration is known.
    std::optional<Millis> current;
    /// Earlier limits that were longer, oldest first and each shorter than the one before.
    std::vector<FormerIdleLimit> former;
    /// Age at which a flow may be forgotten although it is not idle, in milliseconds; 0 if unknown. A flow that was idle for
    /// as long is certainly as old.
    Millis lifetime = 0;
    /// Added to each limit, in milliseconds, for packets that are delayed or retransmitted at either end.
    Millis margin = 5000;
};

/// Result of idleDeadline() and allIdleAt() when no limit is known.
inline constexpr Millis neverIdle = std::numeric_limits<Millis>::max();

/// Brings the limit of a newer configuration into force.
void applyIdleLimit(IdleLimits&, Millis limit, Millis now);

/// Adds limits that another process remembers.
void addFormerLimits(IdleLimits&, std::span<const IdleLimitAge> ages, Millis now);

/// The earlier limits that still apply to some flow, as another process takes them.
std::vector<IdleLimitAge> formerLimitAges(const IdleLimits&, Millis now);

/// The time until which a flow has to be kept whose last packet passed at `lastPacketAt`.
Millis idleDeadline(const IdleLimits&, Millis lastPacketAt);

/// The time from which on no flow has to be kept whose last packet passed before `start`.
Millis allIdleAt(const IdleLimits&, Millis start);

/// The keys of the `count` entries of a map that have been idle for the longest. `lastUse` returns the time of an entry's last use.
template <typename Map, typename LastUse>
std::vector<typename Map::key_type> longestIdle(const Map& map, std::size_t count, LastUse lastUse)
{
    using Candidate = std::pair<Millis, typename Map::key_type>;
    std::vector<Candidate> candidates;
    candidates.reserve(map.size());
    for (const auto& [key, value] : map)
        candidates.emplace_back(lastUse(value), key);
    count = std::min(count, candidates.size());
    std::ranges::nth_element(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count), {}, &Candidate::first);
    std::vector<typename Map::key_type> keys;
    for (std::size_t index = 0; index < count; ++index)
        keys.push_back(candidates[index].second);
    return keys;
}

}
