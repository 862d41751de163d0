#pragma once

#include "ids.h"

#include <optional>

namespace kingcuptrail {

struct LeaseOptions {
    /// The maximum time counted between two observations, in milliseconds, since an observer that was paused itself has not
    /// watched the lease meanwhile.
    Millis maxStep = 1000;
};

/// One lease as seen by an observer. Only the observer's clock is used; a counter reports the holder's renewals.
struct LeaseView {
    /// The time without renewal after which the lease lapses, in milliseconds.
    Millis lease = 10000;
    std::uint64_t renewals = 0;
    /// The observed time since the last renewal, in milliseconds, without platform outages.
    Millis timeSinceRenewal = 0;
    Millis lastObservedAt = 0;
};

/// Starts to observe a lease.
LeaseView observeLease(Millis lease, std::uint64_t renewals, Millis now);

/// Records the renewal counter read from the platform. Only a larger counter is a renewal.
void recordRenewal(LeaseView&, std::uint64_t renewals, Millis now);

/// Adds the time since the last observation if the platform answered meanwhile. To be called often, for example at each
/// heartbeat.
void addObservedTime(LeaseView&, const LeaseOptions&, bool isPlatformReachable, Millis now);

/// Whether the holder has not renewed for the whole lease while the platform was reachable.
bool isLapsed(const LeaseView&);

/// Whether an agent may accept new work. It may not if the platform reports a newer incarnation of its upstream, which
/// fences an agent that was paused. It may if no incarnation is known, because of an outage or because it was not read yet.
bool mayAcceptNewWork(Incarnation ownIncarnation, std::optional<Incarnation> announced);

}
