#include "lease.h"

#include <algorithm>

namespace kingcuptrail {

LeaseView watchLease(Millis lease, std::uint64_t renewals, Millis now)
{
    return { .lease = lease, .renewals = renewals, .unrenewed = 0, .lastLook = now };
}

void noteRenewal(LeaseView& view, std::uint64_t renewals, Millis now)
{
    if (renewals <= view.renewals)
        return;
    view.renewals = renewals;
    view.unrenewed = 0;
    view.lastLook = now;
}

// Failure: the platform is down for an hour, no holder can renew, and every lease seems to lapse at once: no upstream
// would get a new flow. Or the observer itself was stopped, and wakes to leases it has not watched. So only time counts
// in which the platform answered and the observer looked; a stretch between two looks counts for a second at most.
void watchTime(LeaseView& view, const LeaseOptions& options, bool platformAnswers, Millis now)
{
    const Millis step = std::clamp<Millis>(now - view.lastLook, 0, options.longestStep);
    view.lastLook = now;
    if (platformAnswers)
        view.unrenewed += step;
}

bool isLapsed(const LeaseView& view)
{
    return view.unrenewed >= view.lease;
}

bool mayTakeNewWork(Incarnation mine, std::optional<Incarnation> announced)
{
    return !announced || *announced <= mine;
}

}
