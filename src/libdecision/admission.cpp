#include "admission.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace kingcuptrail {

namespace {

    /// Weight of one sample in the estimates of service time. The estimates follow a change within about 10 requests.
    constexpr double serviceTimeWeight = 0.1;
    /// Slots stay reserved for short work for this long after the last of it, in milliseconds.
    constexpr Millis shortReservationTime = 5000;
    /// Bounds of the retry delay that is sent to a refused caller, in milliseconds.
    constexpr Millis minRetryAfter = 50;
    constexpr Millis maxRetryAfter = 30000;
    /// Hints older than this are ignored; a current hint is applied for this long. In milliseconds.
    constexpr Millis maxHintAge = 5000;
    constexpr Millis hintLifetime = 2000;

    std::size_t indexOf(WorkClass workClass)
    {
        return static_cast<std::size_t>(workClass);
    }

    LimitOptions limitOptions(const AdmissionOptions& options)
    {
        return { .slots = options.slots, .warmUp = options.warmUp, .guard = options.coldStartGuard };
    }

    double meanServiceTime(const AdmissionState& state, const AdmissionOptions& options, WorkClass workClass)
    {
        const ServiceTime& estimate = state.serviceTime[indexOf(workClass)];
        if (estimate.samples > 0)
            return std::max(estimate.mean, 1.0);
        return static_cast<double>(workClass == WorkClass::Short ? options.assumedShortServiceTime : options.assumedLongServiceTime);
    }

    bool isShortWorkRecent(const AdmissionState& state, Millis now)
    {
        if (state.running[indexOf(WorkClass::Short)] > 0 || !classQueueOf(state.queue, WorkClass::Short).empty())
            return true;
        return state.lastShortWork && now - *state.lastShortWork < shortReservationTime;
    }

    bool isHintActive(const AdmissionState& state, Millis now)
    {
        return state.limit.cold && now < state.hintExpiresAt;
    }

    std::uint32_t usableSlots(const AdmissionState& state, const AdmissionOptions& options, Millis now)
    {
        std::uint32_t slots = allowedConcurrency(state.limit, limitOptions(options));
        if (!options.coldStartGuard)
            return slots;
        if (isHintActive(state, now))
            slots -= std::min(state.hintedBusySlots, slots - 1);
        return slots;
    }

    // Reserves a quarter of the slots, at least one, for short work while there is any. If uploads, which take seconds, held
    // every slot, a query of milliseconds would wait for the end of an upload and miss its deadline. With a single slot
    // nothing can be reserved, and only the weights of nextClass() balance the classes.
    std::uint32_t maxLongSlots(std::uint32_t slots)
    {
        return slots > 1 ? slots - std::max<std::uint32_t>(1, slots / 4) : 1;
    }

    bool isPaused(const AdmissionState& state, const AdmissionOptions& options, Millis now)
    {
        return options.coldStartGuard && now < state.limit.pausedUntil;
    }

    /// The number of slots in which work of this class may start now.
    std::uint32_t freeSlots(const AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, Millis now)
    {
        const std::uint32_t slots = usableSlots(state, options, now);
        if (isPaused(state, options, now) || busy(state) >= slots)
            return 0;
        const std::uint32_t free = slots - busy(state);
        if (workClass == WorkClass::Short || !options.classGuard || !isShortWorkRecent(state, now))
            return free;
        const std::uint32_t running = state.running[indexOf(WorkClass::Long)];
        const std::uint32_t share = maxLongSlots(slots);
        return running < share ? std::min(free, share - running) : 0;
    }

    bool canStart(const AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, Millis now)
    {
        return freeSlots(state, options, workClass, now) > 0;
    }

    std::optional<WorkClass> nextClassToStart(const AdmissionState& state, const AdmissionOptions& options, bool canStartShort, bool canStartLong)
    {
        const auto& shortQueue = classQueueOf(state.queue, WorkClass::Short);
        const auto& longQueue = classQueueOf(state.queue, WorkClass::Long);
        const bool bothWaiting = canStartShort && canStartLong && !shortQueue.empty() && !longQueue.empty();
        if (options.classGuard || !bothWaiting)
            return nextClass(state.queue, canStartShort, canStartLong);
        return shortQueue.front().queuedAt <= longQueue.front().queuedAt ? WorkClass::Short : WorkClass::Long;
    }

    void start(AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, Millis now)
    {
        if (busy(state) == 0)
            restartLimitAfterIdle(state.limit, limitOptions(options), now);
        ++state.running[indexOf(workClass)];
        chargeSlotTime(state.queue, workClass, meanServiceTime(state, options, workClass));
    }

    /// The average number of slots available to the queued work of this class.
    double servingSlots(const AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, Millis now)
    {
        const std::uint32_t slots = usableSlots(state, options, now);
        const std::uint32_t others = state.running[1 - indexOf(workClass)];
        const double left = slots > others ? slots - others : 0;
        if (workClass == WorkClass::Short)
            return std::max(left, 1.0);
        const double share = slots / (shortWorkWeight + 1);
        const bool shortWaits = !classQueueOf(state.queue, WorkClass::Short).empty();
        return shortWaits ? share : std::max(left, share);
    }

    /// The expected time until long work releases a slot, if it holds all of them.
    double waitForLongWork(const AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, Millis now)
    {
        const std::uint32_t running = state.running[indexOf(WorkClass::Long)];
        if (workClass == WorkClass::Long || running < usableSlots(state, options, now))
            return 0;
        return meanServiceTime(state, options, WorkClass::Long) / (running + 1);
    }

    /// The expected wait of a request with `position` requests of its class before it.
    Millis waitAtPosition(const AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, std::size_t position,
        Millis now)
    {
        const std::size_t free = freeSlots(state, options, workClass, now);
        if (position < free)
            return 0;
        const double ahead = static_cast<double>(position - free) + 1;
        const double slots = servingSlots(state, options, workClass, now);
        const double work = ahead * meanServiceTime(state, options, workClass) / slots;
        const Millis pause = isPaused(state, options, now) ? state.limit.pausedUntil - now : 0;
        return pause + static_cast<Millis>(std::ceil(work + waitForLongWork(state, options, workClass, now)));
    }

    std::uint64_t mixBits(std::uint64_t value)
    {
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31);
    }

    // The delay after which a refused caller may retry. Most requests of a burst are refused within the same millisecond,
    // and with equal delays they would all return at once and be refused again. A hash of the request's id therefore adds up
    // to the expected wait once more, so that callers return at about the rate at which the queue empties. The delay is
    // limited to 30 s so that callers notice a recovered upstream.
    Millis retryAfter(Millis wait, std::uint64_t id)
    {
        const Millis base = std::clamp(wait, minRetryAfter, maxRetryAfter / 2);
        return base + static_cast<Millis>(mixBits(id) % static_cast<std::uint64_t>(base));
    }

    RefusalVerdict refuse(const AdmissionState& state, const AdmissionOptions& options, const WorkItem& item,
        RefusalReason reason, Millis now)
    {
        const Millis wait = expectedWait(state, options, item.workClass, now);
        return { .ran = Ran::No, .reason = reason, .retryAfter = retryAfter(wait, item.id) };
    }

    // The queue limit of one class. Without it, a burst of uploads or queries larger than the queue would fill it, and the
    // other class would be refused although its share of the slots is free. Long work gets a quarter of the queue, since
    // each such request waits longer. From a queue limit of two, each class has at least one place.
    std::size_t classQueueLimit(const AdmissionOptions& options, WorkClass workClass)
    {
        const std::uint32_t longLimit = std::max<std::uint32_t>(1, options.queueLimit / 4);
        if (workClass == WorkClass::Long)
            return std::min(longLimit, options.queueLimit);
        return options.queueLimit > longLimit ? options.queueLimit - longLimit : options.queueLimit;
    }

    bool queueIsFull(const AdmissionState& state, const AdmissionOptions& options, WorkClass workClass)
    {
        return queueLength(state.queue) >= options.queueLimit
            || classQueueOf(state.queue, workClass).size() >= classQueueLimit(options, workClass);
    }

    // Under a lasting overload, an unbounded queue makes every request late: each is answered after its caller has given up.
    // A request is therefore queued only if its expected wait leaves time for the service time plus two deviations before
    // the deadline. The wait is also limited to a second for short work and five for long work by default, so that the
    // caller can still be served by another upstream.
    bool waitsTooLong(const AdmissionState& state, const AdmissionOptions& options, const WorkItem& item, Millis now)
    {
        const Millis wait = expectedWait(state, options, item.workClass, now);
        const Millis longest = item.workClass == WorkClass::Short ? options.maxShortWait : options.maxLongWait;
        const double deviation = state.serviceTime[indexOf(item.workClass)].deviation;
        const auto service = static_cast<Millis>(meanServiceTime(state, options, item.workClass) + 2 * deviation);
        return wait > longest || now + wait + service > item.deadline;
    }

    // Removes queued requests that can't be served before their deadline. When the upstream turns cold or starts are paused,
    // requests queued for five slots may have to wait for one; refusing each only at its deadline would leave its caller no
    // time for a retry elsewhere. Only the requests that stay count towards the wait of those behind them, so that as many
    // stay as can be served.
    std::vector<WorkItem> removeUnservable(AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, Millis now)
    {
        std::vector<WorkItem> unservable;
        std::deque<WorkItem> kept;
        for (const WorkItem& item : classQueueOf(state.queue, workClass)) {
            const Millis wait = waitAtPosition(state, options, workClass, kept.size(), now);
            if (now + wait > item.deadline)
                unservable.push_back(item);
            else
                kept.push_back(item);
        }
        if (!unservable.empty())
            classQueueOf(state.queue, workClass) = std::move(kept);
        return unservable;
    }

}

AdmitVerdict admit(AdmissionState& state, const AdmissionOptions& options, const WorkItem& item, Millis now)
{
    if (item.workClass == WorkClass::Short)
        state.lastShortWork = now;
    if (item.deadline <= now && options.queueGuard)
        return { AdmitDecision::Refuse, refuse(state, options, item, RefusalReason::DeadlinePassed, now) };
    if (classQueueOf(state.queue, item.workClass).empty() && canStart(state, options, item.workClass, now)) {
        start(state, options, item.workClass, now);
        return { AdmitDecision::Run, {} };
    }
    if (options.queueGuard && queueIsFull(state, options, item.workClass))
        return { AdmitDecision::Refuse, refuse(state, options, item, RefusalReason::QueueFull, now) };
    if (options.queueGuard && waitsTooLong(state, options, item, now))
        return { AdmitDecision::Refuse, refuse(state, options, item, RefusalReason::ExpectedWaitTooLong, now) };
    pushWork(state.queue, item);
    return { AdmitDecision::Queue, {} };
}

std::vector<WorkItem> dequeueRunnable(AdmissionState& state, const AdmissionOptions& options, Millis now)
{
    std::vector<WorkItem> runnable;
    std::array<bool, 2> exhausted {};
    while (true) {
        const bool canStartShort = !exhausted[0] && canStart(state, options, WorkClass::Short, now);
        const bool canStartLong = !exhausted[1] && canStart(state, options, WorkClass::Long, now);
        const auto next = nextClassToStart(state, options, canStartShort, canStartLong);
        if (!next)
            return runnable;
        const auto item = popFirstUnexpired(state.queue, *next, options.queueGuard ? now : std::numeric_limits<Millis>::min());
        if (!item) {
            exhausted[indexOf(*next)] = true;
            continue;
        }
        start(state, options, *next, now);
        runnable.push_back(*item);
    }
}

std::vector<RefusedItem> removeExpired(AdmissionState& state, const AdmissionOptions& options, Millis now)
{
    std::vector<RefusedItem> expired;
    if (!options.queueGuard)
        return expired;
    std::vector<WorkItem> removed = removeOverdue(state.queue, now);
    for (const WorkClass workClass : { WorkClass::Short, WorkClass::Long }) {
        const auto unservable = removeUnservable(state, options, workClass, now);
        removed.insert(removed.end(), unservable.begin(), unservable.end());
    }
    for (const WorkItem& item : removed) {
        const auto reason = item.deadline <= now ? RefusalReason::DeadlinePassed : RefusalReason::ExpectedWaitTooLong;
        expired.push_back({ item, refuse(state, options, item, reason, now) });
    }
    return expired;
}

void finishWork(AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, WorkOutcome outcome,
    Millis serviceTime, Millis now)
{
    const std::uint32_t busyBefore = busy(state);
    std::uint32_t& running = state.running[indexOf(workClass)];
    if (running == 0)
        return;
    --running;
    if (workClass == WorkClass::Short)
        state.lastShortWork = now;
    if (outcome == WorkOutcome::Succeeded)
        recordServiceTime(state.serviceTime[indexOf(workClass)], static_cast<double>(serviceTime), serviceTimeWeight);
    const LimitSample sample {
        .outcome = outcome,
        .comparable = workClass == WorkClass::Short,
        .serviceTime = serviceTime,
        .busy = busyBefore,
        .preventGrowth = isHintActive(state, now),
    };
    recordCompletion(state.limit, limitOptions(options), sample, now);
}

bool cancelQueued(AdmissionState& state, std::uint64_t id)
{
    return removeWork(state.queue, id);
}

std::vector<RefusedItem> refuseQueue(AdmissionState& state, RefusalReason reason, Millis)
{
    std::vector<RefusedItem> refused;
    for (const WorkItem& item : removeAll(state.queue))
        refused.push_back({ item, { .ran = Ran::No, .reason = reason, .retryAfter = retryAfter(0, item.id) } });
    return refused;
}

std::optional<Millis> nextWakeTime(const AdmissionState& state, Millis now)
{
    std::optional<Millis> wake;
    const auto consider = [&](Millis time) {
        if (time > now)
            wake = wake ? std::min(*wake, time) : time;
    };
    if (queueLength(state.queue) == 0)
        return wake;
    for (const auto& classQueue : state.queue.classQueues) {
        for (const WorkItem& item : classQueue)
            consider(item.deadline);
    }
    consider(state.limit.pausedUntil);
    consider(state.hintExpiresAt);
    if (state.lastShortWork)
        consider(*state.lastShortWork + shortReservationTime);
    return wake;
}

// The endpoints of a cold upstream may know what the agent can't: that it is not ready, or that work from before the agent's
// restart still runs there. An endpoint that lags or reports wrong values must neither take a working upstream out of
// service nor admit more requests. Hints therefore count only during a warm-up, while the agent has few measurements of its
// own. They never reduce the limit below one slot, so that measurements continue, and they count for at most one further
// warm-up, so that an endpoint that is stuck only causes a delay.
void applyHint(AdmissionState& state, const AdmissionOptions& options, const UpstreamHint& hint, Millis now)
{
    if (!state.limit.cold || hint.age > maxHintAge)
        return;
    if (state.hintsIgnoredFrom == 0 || state.hintsColdStartCount != state.limit.coldStarts) {
        state.hintsColdStartCount = state.limit.coldStarts;
        state.hintsIgnoredFrom = now + options.warmUp;
    }
    const std::uint32_t own = busy(state);
    state.hintedBusySlots = hint.busy > own ? hint.busy - own : 0;
    const bool isRestrictive = !hint.healthy || state.hintedBusySlots > 0;
    state.hintExpiresAt = isRestrictive ? std::min(now + hintLifetime, state.hintsIgnoredFrom) : 0;
}

void restartWarmUp(AdmissionState& state, Millis now)
{
    beginWarmUp(state.limit);
    state.limit.pausedUntil = now;
}

bool isCold(const AdmissionState& state)
{
    return state.limit.cold;
}

std::uint32_t currentLimit(const AdmissionState& state)
{
    return static_cast<std::uint32_t>(std::max(1.0, state.limit.limit));
}

std::uint32_t busy(const AdmissionState& state)
{
    return state.running[0] + state.running[1];
}

std::uint32_t queued(const AdmissionState& state)
{
    return static_cast<std::uint32_t>(queueLength(state.queue));
}

Millis expectedWait(const AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, Millis now)
{
    return waitAtPosition(state, options, workClass, classQueueOf(state.queue, workClass).size(), now);
}

}
