#pragma once

#include "ids.h"

#include <optional>

namespace kingcuptrail {

struct LeaseOptions {
    /// The longest stretch counted between two looks, in milliseconds: an observer that was itself paused has not
    /// watched the lease meanwhile.
    Millis longestStep = 1000;
};

/// One lease as an observer sees it. Only its own clock counts; the holder's renewals are told by a counter.
struct LeaseView {
    /// The time without renewal after which the lease lapses, in milliseconds.
    Millis lease = 10000;
    std::uint64_t renewals = 0;
    /// Time watched since the last renewal was seen, in milliseconds; platform outages are left out.
    Millis unrenewed = 0;
    Millis lastLook = 0;
};

/// Begins to watch a lease.
LeaseView watchLease(Millis lease, std::uint64_t renewals, Millis now);

/// Takes the renewal counter read from the platform. A counter that has not grown is no renewal.
void noteRenewal(LeaseView&, std::uint64_t renewals, Millis now);

/// Counts the time since the last look, if the platform answered meanwhile. To be called often, such as each heartbeat.
void watchTime(LeaseView&, const LeaseOptions&, bool platformAnswers, Millis now);

/// Whether the holder has not renewed for the whole lease while the platform answered.
bool isLapsed(const LeaseView&);

/// Whether an agent may take new work: not when the platform names a newer incarnation of its upstream, which fences a
/// holder that was paused. With nothing announced (outage, or not seen yet) it may.
bool mayTakeNewWork(Incarnation mine, std::optional<Incarnation> announced);

}
