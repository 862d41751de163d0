#include "admissionqueue.h"

#include <algorithm>
#include <utility>

namespace kingcuptrail {

namespace {

    bool precedes(const WaitingOpening& left, const WaitingOpening& right, Millis now)
    {
        const bool isLeftTimely = isTimely(left, now);
        if (isLeftTimely != isTimely(right, now))
            return isLeftTimely;
        if (!isLeftTimely)
            return left.seenAt > right.seenAt;
        if (left.priority != right.priority)
            return left.priority < right.priority;
        return left.arrivedAt > right.arrivedAt;
    }

}

bool isTimely(const WaitingOpening& opening, Millis now)
{
    return now <= opening.timelyUntil;
}

std::uint32_t countTimely(const AdmissionQueue& queue, Millis now)
{
    return static_cast<std::uint32_t>(std::ranges::count_if(queue.waiting, [now](const auto& opening) { return isTimely(opening, now); }));
}

bool recordCopy(AdmissionQueue& queue, const FlowKey& flow, Millis now)
{
    const auto found = std::ranges::find(queue.waiting, flow, &WaitingOpening::flow);
    if (found == queue.waiting.end())
        return false;
    found->seenAt = now;
    return true;
}

bool enqueue(AdmissionQueue& queue, WaitingOpening opening, std::uint32_t slots)
{
    if (queue.waiting.size() >= std::size_t { queue.options.waitingPerSlot } * std::max(slots, 1U))
        return false;
    opening.seenAt = opening.arrivedAt;
    queue.waiting.push_back(std::move(opening));
    return true;
}

const WaitingOpening* peekNext(const AdmissionQueue& queue, Millis now)
{
    const auto next = std::ranges::min_element(queue.waiting, [now](const auto& left, const auto& right) { return precedes(left, right, now); });
    return next == queue.waiting.end() ? nullptr : &*next;
}

std::optional<WaitingOpening> popNext(AdmissionQueue& queue, Millis now)
{
    const WaitingOpening* next = peekNext(queue, now);
    if (!next)
        return std::nullopt;
    const auto position = queue.waiting.begin() + (next - queue.waiting.data());
    WaitingOpening taken = std::move(*position);
    queue.waiting.erase(position);
    return taken;
}

std::vector<WaitingOpening> removeExpired(AdmissionQueue& queue, Millis now)
{
    const auto hasExpired = [&](const WaitingOpening& opening) { return now - opening.startedAt > queue.options.maxWait; };
    const auto over = std::stable_partition(queue.waiting.begin(), queue.waiting.end(), [&](const auto& opening) { return !hasExpired(opening); });
    std::vector<WaitingOpening> expired(std::make_move_iterator(over), std::make_move_iterator(queue.waiting.end()));
    queue.waiting.erase(over, queue.waiting.end());
    return expired;
}

std::vector<WaitingOpening> removeAll(AdmissionQueue& queue)
{
    return std::exchange(queue.waiting, {});
}

}
