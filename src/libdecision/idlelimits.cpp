#include "idlelimits.h"

namespace kingcuptrail {

namespace {

    /// The number of earlier limits that are told apart. Beyond it, the longest one also stands for the next.
    constexpr std::size_t maxFormerLimits = 16;

    Millis saturatingAdd(Millis time, Millis duration)
    {
        return time > 0 && duration > neverIdle - time ? neverIdle : time + duration;
    }

    Millis deadlineOf(const IdleLimits& limits, Millis lastPacketAt, Millis limit)
    {
        const Millis kept = limits.lifetime > 0 ? std::min(limit, limits.lifetime) : limit;
        return saturatingAdd(lastPacketAt, saturatingAdd(kept, limits.margin));
    }

    /// Keeps the list in its order: a limit that ends later and is not shorter makes an earlier one needless.
    void addFormerLimit(IdleLimits& limits, const FormerIdleLimit& added)
    {
        std::vector<FormerIdleLimit>& former = limits.former;
        const auto covers = [](const FormerIdleLimit& one, const FormerIdleLimit& other) { return one.limit >= other.limit && one.until >= other.until; };
        if (std::ranges::any_of(former, [&](const FormerIdleLimit& known) { return covers(known, added); }))
            return;
        std::erase_if(former, [&](const FormerIdleLimit& known) { return covers(added, known); });
        former.insert(std::ranges::lower_bound(former, added.until, {}, &FormerIdleLimit::until), added);
        if (former.size() <= maxFormerLimits)
            return;
        former[0].until = former[1].until;
        former.erase(former.begin() + 1);
    }

    void removeExpired(IdleLimits& limits, Millis now)
    {
        std::erase_if(limits.former, [&](const FormerIdleLimit& former) { return now > deadlineOf(limits, former.until, former.limit); });
    }

}

void applyIdleLimit(IdleLimits& limits, Millis limit, Millis now)
{
    removeExpired(limits, now);
    if (limits.current && *limits.current > limit)
        addFormerLimit(limits, { .limit = *limits.current, .until = now });
    limits.current = limit;
}

void addFormerLimits(IdleLimits& limits, std::span<const IdleLimitAge> ages, Millis now)
{
    for (const IdleLimitAge& former : ages)
        addFormerLimit(limits, { .limit = former.limit, .until = now - former.age });
    removeExpired(limits, now);
}

std::vector<IdleLimitAge> formerLimitAges(const IdleLimits& limits, Millis now)
{
    std::vector<IdleLimitAge> ages;
    for (const FormerIdleLimit& former : limits.former) {
        if (now <= deadlineOf(limits, former.until, former.limit))
            ages.push_back({ .limit = former.limit, .age = now - former.until });
    }
    return ages;
}

Millis idleDeadline(const IdleLimits& limits, Millis lastPacketAt)
{
    Millis limit = limits.current.value_or(neverIdle);
    for (const FormerIdleLimit& former : limits.former) {
        if (former.until > lastPacketAt)
            limit = std::max(limit, former.limit);
    }
    return deadlineOf(limits, lastPacketAt, limit);
}

Millis allIdleAt(const IdleLimits& limits, Millis start)
{
    Millis latest = deadlineOf(limits, start, limits.current.value_or(neverIdle));
    for (const FormerIdleLimit& former : limits.former)
        latest = std::max(latest, deadlineOf(limits, std::min(start, former.until), former.limit));
    return latest;
}

}
