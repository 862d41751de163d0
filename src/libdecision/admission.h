#pragma once

#include "concurrencylimit.h"
#include "refusal.h"
#include "workqueue.h"

namespace kingcuptrail {

/// What admission does with a request that arrives.
enum class AdmitDecision : std::uint8_t {
    Run,
    Queue,
    Refuse,
};

template <>
struct EnumNames<AdmitDecision> {
    static constexpr std::array<std::string_view, 3> names { "run", "queue", "refuse" };
};

/// The result of admission. `refusal` is valid only with Refuse; a refused request has not reached the upstream.
struct AdmitVerdict {
    AdmitDecision decision = AdmitDecision::Refuse;
    RefusalVerdict refusal;
};

/// Limits of one agent's admission control.
struct AdmissionOptions {
    /// The number of concurrent requests that a warm upstream can serve.
    std::uint32_t slots = 1;
    /// The maximum number of queued requests, both classes together.
    std::uint32_t queueLimit = 32;
    /// The minimum time in which the limit rises from one slot to all slots, in milliseconds.
    Millis warmUp = 10000;
    /// A request whose expected wait is longer than this is refused on arrival, whatever its deadline, in milliseconds.
    Millis maxShortWait = 1000;
    Millis maxLongWait = 5000;
    /// Service times that are assumed until the first measurement, in milliseconds.
    Millis assumedShortServiceTime = 50;
    Millis assumedLongServiceTime = 1000;
    /// Test only: when off, a cold upstream gets as many requests as a warm one.
    bool coldStartGuard = true;
    /// Test only: when off, the queue has no bound and requests stay in it past their deadline.
    bool queueGuard = true;
    /// Test only: when off, long work may occupy every slot and requests start in order of arrival.
    bool classGuard = true;
};

/// What the upstream's own health and load endpoints report. Reports lag and may be wrong.
struct UpstreamHint {
    bool healthy = true;
    std::uint32_t busy = 0;
    /// The age of the report, in milliseconds.
    Millis age = 0;
};

/// The load state of one agent's upstream.
struct AdmissionState {
    ConcurrencyLimit limit;
    WorkQueue queue;
    std::array<std::uint32_t, 2> running {};
    std::array<ServiceTime, 2> serviceTime;
    /// When short work last arrived or ended. Slots are reserved for short work for a while after that.
    std::optional<Millis> lastShortWork;
    /// Slots that the upstream reports as occupied by other work, and when this report expires.
    std::uint32_t hintedBusySlots = 0;
    Millis hintExpiresAt = 0;
    /// During the warm-up that `hintsColdStartCount` identifies, hints are ignored from this time on.
    Millis hintsIgnoredFrom = 0;
    std::uint64_t hintsColdStartCount = 0;
};

/// Decides on a request that arrives. A request that may run is counted as running, a queued one is stored.
AdmitVerdict admit(AdmissionState&, const AdmissionOptions&, const WorkItem&, Millis now);

/// Removes the queued requests that may start now and counts them as running.
std::vector<WorkItem> dequeueRunnable(AdmissionState&, const AdmissionOptions&, Millis now);

/// A queued request that is refused. Nothing of it has reached the upstream.
struct RefusedItem {
    WorkItem item;
    RefusalVerdict refusal;
};

/// Removes the queued requests that can no longer be answered before their deadline, so that each is refused as soon as this
/// is known.
std::vector<RefusedItem> removeExpired(AdmissionState&, const AdmissionOptions&, Millis now);

/// Records the end of a running request: frees its slot and adjusts the concurrency limit. A cancelled or timed-out request
/// has ended only when the upstream has confirmed it or its connection is closed.
void finishWork(AdmissionState&, const AdmissionOptions&, WorkClass, WorkOutcome, Millis serviceTime, Millis now);

/// Removes a queued request that its caller has cancelled. Returns false if it is not queued here.
bool cancelQueued(AdmissionState&, std::uint64_t id);

/// Refuses all queued requests as not run, because the agent drains, its data centre is taken out or its upstream is lost.
std::vector<RefusedItem> refuseQueue(AdmissionState&, RefusalReason, Millis now);

/// The next time, always after `now`, at which dequeueRunnable() or removeExpired() may return something
/// although no request has ended; nothing while the queue is empty. Call it after both of them.
std::optional<Millis> nextWakeTime(const AdmissionState&, Millis now);

/// Applies a report of the upstream's endpoints. A hint can only reduce the number of requests, only during a warm-up, and
/// for no longer than one further warm-up. Otherwise the agent's own measurements decide.
void applyHint(AdmissionState&, const AdmissionOptions&, const UpstreamHint&, Millis now);

/// Starts a warm-up after a restart of the upstream or the return of its data centre.
void restartWarmUp(AdmissionState&, Millis now);

/// Whether the upstream is warming up.
bool isCold(const AdmissionState&);

/// The learned concurrency limit in whole slots.
std::uint32_t currentLimit(const AdmissionState&);

/// The number of requests that the upstream is processing.
std::uint32_t busy(const AdmissionState&);

/// The number of queued requests.
std::uint32_t queued(const AdmissionState&);

/// How long a request of this class that arrives now would wait for a slot, in milliseconds.
Millis expectedWait(const AdmissionState&, const AdmissionOptions&, WorkClass, Millis now);

}
