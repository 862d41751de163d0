#include "drain.h"

namespace kingcuptrail {

namespace {

    bool hasAnnouncementSpread(const DrainProgress& progress, const DrainOptions& options, Millis now)
    {
        return progress.announced && now - progress.announcedAt >= options.announceGrace;
    }

    // The packet that reports the close of an idle flow may be lost with a balancer. If the agent exited at once, the
    // caller's next packet would reach the successor, which can only report that the owner is gone, and the flow would count
    // as broken.
    bool hasCloseGracePassed(const DrainProgress& progress, const DrainOptions& options, Millis now)
    {
        return progress.lastClosedAt == 0 || now - progress.lastClosedAt >= options.closeGrace;
    }

}

// An upstream may drain with some 2,000 flows, most of them idle between two queries. Waiting for the callers to close them
// could take hours. Closing a flow with a request or a feed in progress cuts it, and closing before the balancers know of
// the drain brings the caller straight back. So only flows without pending requests that were idle for a second, which
// covers a request in transit, are closed, and only after the announcement's grace period. A caller that is notified of the
// close opens its next flow elsewhere and loses nothing.
DrainFlowStep drainFlow(const DrainFlow& flow, const DrainProgress& progress, const DrainOptions& options, Millis now)
{
    if (flow.pending > 0 || !hasAnnouncementSpread(progress, options, now))
        return DrainFlowStep::Keep;
    return now - flow.idleSince >= options.idleBeforeClose ? DrainFlowStep::CloseIdle : DrainFlowStep::Keep;
}

// A draining upstream may hold a seventh or a third of its service's flows. If it refused their requests at once, the
// callers would retry immediately and use up the retry budget, a tenth of their first tries, before the idle flows are
// closed. Requests are therefore served until the announcement has reached the balancers; from then on idle flows are closed
// and later requests are new work.
bool refusesNewWork(const DrainProgress& progress, const DrainOptions& options, Millis now)
{
    return hasAnnouncementSpread(progress, options, now);
}

DrainStep nextDrainStep(std::span<const DrainFlow> flows, const DrainProgress& progress, const DrainOptions& options, Millis now)
{
    if (flows.empty() && hasAnnouncementSpread(progress, options, now) && hasCloseGracePassed(progress, options, now))
        return DrainStep::Done;
    if (options.limit > 0 && now - progress.startedAt >= options.limit)
        return DrainStep::LimitReached;
    return DrainStep::Wait;
}

}
