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
    constexpr Millis shortPresence = 5000;
    /// Bounds of the retry delay that is sent to a refused caller, in milliseconds.
    constexpr Millis leastRetryAfter = 50;
    constexpr Millis longestRetryAfter = 30000;
    /// Hints older than this are ignored; a current hint is applied for this long. In milliseconds.
    constexpr Millis oldestHint = 5000;
    constexpr Millis hintHold = 2000;

    std::size_t indexOf(WorkClass workClass)
    {
        return static_cast<std::size_t>(workClass);
    }

    LimitOptions limitOptions(const AdmissionOptions& options)
    {
        return { .slots = options.slots, .warmUp = options.warmUp, .guard = options.coldStartGuard };
    }

    double meanTime(const AdmissionState& state, const AdmissionOptions& options, WorkClass workClass)
    {
        const ServiceTime& estimate = state.serviceTime[indexOf(workClass)];
        if (estimate.samples > 0)
            return std::max(estimate.mean, 1.0);
        return static_cast<double>(workClass == WorkClass::Short ? options.assumedShortTime : options.assumedLongTime);
    }

    bool shortIsPresent(const AdmissionState& state, Millis now)
    {
        if (state.running[indexOf(WorkClass::Short)] > 0 || !lineOf(state.queue, WorkClass::Short).empty())
            return true;
        return state.lastShort && now - *state.lastShort < shortPresence;
    }

    bool hintsHold(const AdmissionState& state, Millis now)
    {
        return state.limit.cold && now < state.hintUntil;
    }

    std::uint32_t usableSlots(const AdmissionState& state, const AdmissionOptions& options, Millis now)
    {
        std::uint32_t slots = allowedConcurrency(state.limit, limitOptions(options));
        if (!options.coldStartGuard)
            return slots;
        if (hintsHold(state, now))
            slots -= std::min(state.hintedBusy, slots - 1);
        return slots;
    }

    // Reserves a quarter of the slots, at least one, for short work while there is any. If uploads, which take seconds, held
    // every slot, a query of milliseconds would wait for the end of an upload and miss its deadline. With a single slot
    // nothing can be reserved, and only the weights of classInTurn() balance the classes.
    std::uint32_t longSlots(std::uint32_t slots)
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
        if (workClass == WorkClass::Short || !options.classGuard || !shortIsPresent(state, now))
            return free;
        const std::uint32_t running = state.running[indexOf(WorkClass::Long)];
        const std::uint32_t share = longSlots(slots);
        return running < share ? std::min(free, share - running) : 0;
    }

    bool mayStart(const AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, Millis now)
    {
        return freeSlots(state, options, workClass, now) > 0;
    }

    std::optional<WorkClass> turn(const AdmissionState& state, const AdmissionOptions& options, bool shortMay, bool longMay)
    {
        const auto& shortLine = lineOf(state.queue, WorkClass::Short);
        const auto& longLine = lineOf(state.queue, WorkClass::Long);
        const bool bothWait = shortMay && longMay && !shortLine.empty() && !longLine.empty();
        if (options.classGuard || !bothWait)
            return classInTurn(state.queue, shortMay, longMay);
        return shortLine.front().queuedAt <= longLine.front().queuedAt ? WorkClass::Short : WorkClass::Long;
    }

    void start(AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, Millis now)
    {
        if (busy(state) == 0)
            noteIdleStart(state.limit, limitOptions(options), now);
        ++state.running[indexOf(workClass)];
        chargeStart(state.queue, workClass, meanTime(state, options, workClass));
    }

    /// The average number of slots available to the queued work of this class.
    double servingSlots(const AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, Millis now)
    {
        const std::uint32_t slots = usableSlots(state, options, now);
        const std::uint32_t others = state.running[1 - indexOf(workClass)];
        const double left = slots > others ? slots - others : 0;
        if (workClass == WorkClass::Short)
            return std::max(left, 1.0);
        const double share = slots / (shortWeight + 1);
        const bool shortWaits = !lineOf(state.queue, WorkClass::Short).empty();
        return shortWaits ? share : std::max(left, share);
    }

    /// The expected time until long work releases a slot, if it holds all of them.
    double waitForLong(const AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, Millis now)
    {
        const std::uint32_t running = state.running[indexOf(WorkClass::Long)];
        if (workClass == WorkClass::Long || running < usableSlots(state, options, now))
            return 0;
        return meanTime(state, options, WorkClass::Long) / (running + 1);
    }

    /// The expected wait of a request with `position` requests of its class before it.
    Millis waitAt(const AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, std::size_t position,
        Millis now)
    {
        const std::size_t free = freeSlots(state, options, workClass, now);
        if (position < free)
            return 0;
        const double ahead = static_cast<double>(position - free) + 1;
        const double slots = servingSlots(state, options, workClass, now);
        const double work = ahead * meanTime(state, options, workClass) / slots;
        const Millis pause = isPaused(state, options, now) ? state.limit.pausedUntil - now : 0;
        return pause + static_cast<Millis>(std::ceil(work + waitForLong(state, options, workClass, now)));
    }

    std::uint64_t mix(std::uint64_t value)
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
        const Millis base = std::clamp(wait, leastRetryAfter, longestRetryAfter / 2);
        return base + static_cast<Millis>(mix(id) % static_cast<std::uint64_t>(base));
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
    std::size_t lineLimit(const AdmissionOptions& options, WorkClass workClass)
    {
        const std::uint32_t longLimit = std::max<std::uint32_t>(1, options.queueLimit / 4);
        if (workClass == WorkClass::Long)
            return std::min(longLimit, options.queueLimit);
        return options.queueLimit > longLimit ? options.queueLimit - longLimit : options.queueLimit;
    }

    bool queueIsFull(const AdmissionState& state, const AdmissionOptions& options, WorkClass workClass)
    {
        return queueLength(state.queue) >= options.queueLimit
            || lineOf(state.queue, workClass).size() >= lineLimit(options, workClass);
    }

    // Under a lasting overload, an unbounded queue makes every request late: each is answered after its caller has given up.
    // A request is therefore queued only if its expected wait leaves time for the service time plus two deviations before
    // the deadline. The wait is also limited to a second for short work and five for long work by default, so that the
    // caller can still be served by another upstream.
    bool waitsTooLong(const AdmissionState& state, const AdmissionOptions& options, const WorkItem& item, Millis now)
    {
        const Millis wait = expectedWait(state, options, item.workClass, now);
        const Millis longest = item.workClass == WorkClass::Short ? options.longestShortWait : options.longestLongWait;
        const double deviation = state.serviceTime[indexOf(item.workClass)].deviation;
        const auto service = static_cast<Millis>(meanTime(state, options, item.workClass) + 2 * deviation);
        return wait > longest || now + wait + service > item.deadline;
    }

    // Removes queued requests that can't be served before their deadline. When the upstream turns cold or starts are paused,
    // requests queued for five slots may have to wait for one; refusing each only at its deadline would leave its caller no
    // time for a retry elsewhere. Only the requests that stay count towards the wait of those behind them, so that as many
    // stay as can be served.
    std::vector<WorkItem> takeHopeless(AdmissionState& state, const AdmissionOptions& options, WorkClass workClass, Millis now)
    {
        std::vector<WorkItem> hopeless;
        std::deque<WorkItem> kept;
        for (const WorkItem& item : lineOf(state.queue, workClass)) {
            const Millis wait = waitAt(state, options, workClass, kept.size(), now);
            if (now + wait > item.deadline)
                hopeless.push_back(item);
            else
                kept.push_back(item);
        }
        if (!hopeless.empty())
            lineOf(state.queue, workClass) = std::move(kept);
        return hopeless;
    }

}

AdmitVerdict admit(AdmissionState& state, const AdmissionOptions& options, const WorkItem& item, Millis now)
{
    if (item.workClass == WorkClass::Short)
        state.lastShort = now;
    if (item.deadline <= now && options.queueGuard)
        return { AdmitDecision::Refuse, refuse(state, options, item, RefusalReason::DeadlinePassed, now) };
    if (lineOf(state.queue, item.workClass).empty() && mayStart(state, options, item.workClass, now)) {
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

std::vector<WorkItem> takeRunnable(AdmissionState& state, const AdmissionOptions& options, Millis now)
{
    std::vector<WorkItem> runnable;
    std::array<bool, 2> exhausted {};
    while (true) {
        const bool shortMay = !exhausted[0] && mayStart(state, options, WorkClass::Short, now);
        const bool longMay = !exhausted[1] && mayStart(state, options, WorkClass::Long, now);
        const auto next = turn(state, options, shortMay, longMay);
        if (!next)
            return runnable;
        const auto item = popStartable(state.queue, *next, options.queueGuard ? now : std::numeric_limits<Millis>::min());
        if (!item) {
            exhausted[indexOf(*next)] = true;
            continue;
        }
        start(state, options, *next, now);
        runnable.push_back(*item);
    }
}

std::vector<ExpiredItem> takeExpired(AdmissionState& state, const AdmissionOptions& options, Millis now)
{
    std::vector<ExpiredItem> expired;
    if (!options.queueGuard)
        return expired;
    std::vector<WorkItem> taken = takeOverdue(state.queue, now);
    for (const WorkClass workClass : { WorkClass::Short, WorkClass::Long }) {
        const auto hopeless = takeHopeless(state, options, workClass, now);
        taken.insert(taken.end(), hopeless.begin(), hopeless.end());
    }
    for (const WorkItem& item : taken) {
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
        state.lastShort = now;
    if (outcome == WorkOutcome::Succeeded)
        noteServiceTime(state.serviceTime[indexOf(workClass)], static_cast<double>(serviceTime), serviceTimeWeight);
    const LimitSample sample {
        .outcome = outcome,
        .measured = workClass == WorkClass::Short,
        .serviceTime = serviceTime,
        .busy = busyBefore,
        .holdGrowth = hintsHold(state, now),
    };
    noteCompletion(state.limit, limitOptions(options), sample, now);
}

bool cancelQueued(AdmissionState& state, std::uint64_t id)
{
    return removeWork(state.queue, id);
}

std::vector<ExpiredItem> refuseQueue(AdmissionState& state, RefusalReason reason, Millis)
{
    std::vector<ExpiredItem> refused;
    for (const WorkItem& item : takeAll(state.queue))
        refused.push_back({ item, { .ran = Ran::No, .reason = reason, .retryAfter = retryAfter(0, item.id) } });
    return refused;
}

std::optional<Millis> nextWake(const AdmissionState& state, Millis now)
{
    std::optional<Millis> wake;
    const auto consider = [&](Millis time) {
        if (time > now)
            wake = wake ? std::min(*wake, time) : time;
    };
    if (queueLength(state.queue) == 0)
        return wake;
    for (const auto& line : state.queue.lines) {
        for (const WorkItem& item : line)
            consider(item.deadline);
    }
    consider(state.limit.pausedUntil);
    consider(state.hintUntil);
    if (state.lastShort)
        consider(*state.lastShort + shortPresence);
    return wake;
}

// The endpoints of a cold upstream may know what the agent can't: that it is not ready, or that work from before the agent's
// restart still runs there. An endpoint that lags or reports wrong values must neither take a working upstream out of
// service nor admit more requests. Hints therefore count only during a warm-up, while the agent has few measurements of its
// own. They never reduce the limit below one slot, so that measurements continue, and they count for at most one further
// warm-up, so that an endpoint that is stuck only causes a delay.
void noteHint(AdmissionState& state, const AdmissionOptions& options, const UpstreamHint& hint, Millis now)
{
    if (!state.limit.cold || hint.age > oldestHint)
        return;
    if (state.hintsEnd == 0 || state.hintsColdStart != state.limit.coldStarts) {
        state.hintsColdStart = state.limit.coldStarts;
        state.hintsEnd = now + options.warmUp;
    }
    const std::uint32_t own = busy(state);
    state.hintedBusy = hint.busy > own ? hint.busy - own : 0;
    const bool asksForCare = !hint.healthy || state.hintedBusy > 0;
    state.hintUntil = asksForCare ? std::min(now + hintHold, state.hintsEnd) : 0;
}

void restartCold(AdmissionState& state, Millis now)
{
    startCold(state.limit);
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
    return waitAt(state, options, workClass, lineOf(state.queue, workClass).size(), now);
}

}
