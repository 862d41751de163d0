#pragma once

#include "concurrencylimit.h"
#include "refusal.h"
#include "workqueue.h"

namespace kingcuptrail {

/// What becomes of a request on arrival.
enum class AdmitDecision : std::uint8_t {
    Run,
    Queue,
    Refuse,
};

template <>
struct EnumNames<AdmitDecision> {
    static constexpr std::array<std::string_view, 3> names { "run", "queue", "refuse" };
};

/// The answer of admission; `refusal` counts only with Refuse, and then nothing has reached the upstream.
struct AdmitVerdict {
    AdmitDecision decision = AdmitDecision::Refuse;
    RefusalVerdict refusal;
};

/// Bounds of one agent's admission.
struct AdmissionOptions {
    /// What the upstream bears when warm.
    std::uint32_t slots = 1;
    /// Requests waiting at most, both classes together.
    std::uint32_t queueLimit = 32;
    /// The shortest time from cold to all slots, in milliseconds.
    Millis warmUp = 10000;
    /// Expected waits beyond these are refused at once, whatever the deadline, in milliseconds.
    Millis longestShortWait = 1000;
    Millis longestLongWait = 5000;
    /// Service times believed until some are measured, in milliseconds.
    Millis assumedShortTime = 50;
    Millis assumedLongTime = 1000;
    /// Test only: off, a cold upstream gets as much as a warm one.
    bool coldStartGuard = true;
    /// Test only: off, everything is queued without bound and waits past its deadline.
    bool queueGuard = true;
    /// Test only: off, long work may take every slot and its turn comes by arrival.
    bool classGuard = true;
};

/// What the upstream's own health and load endpoints say. They lag and may be wrong.
struct UpstreamHint {
    bool healthy = true;
    std::uint32_t busy = 0;
    /// How old the news is, in milliseconds.
    Millis age = 0;
};

/// What one agent knows of the load of its one upstream.
struct AdmissionState {
    ConcurrencyLimit limit;
    WorkQueue queue;
    std::array<std::uint32_t, 2> running {};
    std::array<ServiceTime, 2> serviceTime;
    /// When short work last arrived or ended; it counts as present for a while after.
    std::optional<Millis> lastShort;
    /// Slots the upstream says others hold, and until when that is believed.
    std::uint32_t hintedBusy = 0;
    Millis hintUntil = 0;
    /// Hints are believed until here in the warm-up with this number.
    Millis hintsEnd = 0;
    std::uint64_t hintsColdStart = 0;
};

/// Decides on a request that arrives. Run counts it as running; Queue keeps it.
AdmitVerdict admit(AdmissionState&, const AdmissionOptions&, const WorkItem&, Millis now);

/// Removes the queued requests that may start now and counts them as running.
std::vector<WorkItem> takeRunnable(AdmissionState&, const AdmissionOptions&, Millis now);

/// A queued request that is refused; nothing of it has reached the upstream.
struct ExpiredItem {
    WorkItem item;
    RefusalVerdict refusal;
};

/// Removes the queued requests that cannot be answered within their deadline any more, so that each is refused as soon
/// as that is known.
std::vector<ExpiredItem> takeExpired(AdmissionState&, const AdmissionOptions&, Millis now);

/// Takes note of the end of a running request: frees its slot and moves the limit. A cancelled or timed-out request
/// has ended when the upstream has confirmed or its connection is gone, not before.
void finishWork(AdmissionState&, const AdmissionOptions&, WorkClass, WorkOutcome, Millis serviceTime, Millis now);

/// Removes a queued request that its caller has withdrawn; false when it does not wait here.
bool cancelQueued(AdmissionState&, std::uint64_t id);

/// Refuses everything queued, as not run: the agent drains, its data centre is out, or its upstream is lost.
std::vector<ExpiredItem> refuseQueue(AdmissionState&, RefusalReason, Millis now);

/// When takeRunnable() or takeExpired() may next have something without a request ending first, always after `now`;
/// nothing while the queue is empty. To be called after both of them.
std::optional<Millis> nextWake(const AdmissionState&, Millis now);

/// Takes note of what the upstream's endpoints say. A hint only ever makes admission more careful, only during a
/// warm-up, and for no longer than one more warm-up; what the agent measures itself decides.
void noteHint(AdmissionState&, const AdmissionOptions&, const UpstreamHint&, Millis now);

/// Begins a warm-up: the upstream was restarted, or its data centre has come back.
void restartCold(AdmissionState&, Millis now);

/// Whether the upstream is warming up.
bool isCold(const AdmissionState&);

/// Whole slots of the learned limit.
std::uint32_t currentLimit(const AdmissionState&);

/// Requests at the upstream.
std::uint32_t busy(const AdmissionState&);

/// Requests waiting.
std::uint32_t queued(const AdmissionState&);

/// How long a request of this class that arrives now would wait for a slot, in milliseconds.
Millis expectedWait(const AdmissionState&, const AdmissionOptions&, WorkClass, Millis now);

}
