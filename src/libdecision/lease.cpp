#include "lease.h"

#include <algorithm>

namespace kingcuptrail {

LeaseView observeLease(Millis lease, std::uint64_t renewals, Millis now)
{
    return { .lease = lease, .renewals = renewals, .timeSinceRenewal = 0, .lastObservedAt = now };
}

void recordRenewal(LeaseView& view, std::uint64_t renewals, Millis now)
{
    if (renewals <= view.renewals)
        return;
    view.renewals = renewals;
    view.timeSinceRenewal = 0;
    view.lastObservedAt = now;
}

// During a platform outage no holder can renew, and all leases would lapse at once and leave no upstream for new flows. An
// observer that was paused has not watched the leases either. Therefore only time counts in which the platform answered and
// the observer ran, and at most a second between two observations.
void addObservedTime(LeaseView& view, const LeaseOptions& options, bool isPlatformReachable, Millis now)
{
    const Millis step = std::clamp<Millis>(now - view.lastObservedAt, 0, options.maxStep);
    view.lastObservedAt = now;
    if (isPlatformReachable)
        view.timeSinceRenewal += step;
}

bool isLapsed(const LeaseView& view)
{
    return view.timeSinceRenewal >= view.lease;
}

bool mayAcceptNewWork(Incarnation ownIncarnation, std::optional<Incarnation> announced)
{
    return !announced || *announced <= ownIncarnation;
}

}
