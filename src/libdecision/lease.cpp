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

// During a platform outage no holder can renew, and all leases would lapse at once and leave no upstream for new flows. An
// observer that was paused has not watched the leases either. Therefore only time counts in which the platform answered and
// the observer ran, and at most a second between two observations.
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
