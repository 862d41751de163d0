#include "drain.h"

namespace kingcuptrail {

namespace {

    bool newsIsOut(const DrainProgress& progress, const DrainOptions& options, Millis now)
    {
        return progress.announced && now - progress.announcedAt >= options.announceGrace;
    }

    // Failure: the one packet that tells a caller of its idle flow's end is lost with a balancer, and the agent exits at once.
    // The caller's next packet would meet the successor, which can only say that the owner is gone: a broken flow.
    bool callersWereTold(const DrainProgress& progress, const DrainOptions& options, Millis now)
    {
        return progress.lastClosedAt == 0 || now - progress.lastClosedAt >= options.closeGrace;
    }

}

// Load: an upstream leaves with some 2,000 flows, most of them idle between two queries.
// Harm: waiting for callers to close them, the leaving would take a shift; closing one with a request or a feed in
// progress cuts it, and closing before the balancers know brings the caller straight back.
// Limit: only flows without anything pending, and idle for a second, which covers a request that is on its way; only
// after the announcement's grace. A caller told of the close opens its next flow elsewhere and has lost nothing.
DrainFlowStep drainFlow(const DrainFlow& flow, const DrainProgress& progress, const DrainOptions& options, Millis now)
{
    if (flow.pending > 0 || !newsIsOut(progress, options, now))
        return DrainFlowStep::Keep;
    return now - flow.idleSince >= options.idleBeforeClose ? DrainFlowStep::CloseIdle : DrainFlowStep::Keep;
}

// Load: an upstream leaves with a seventh or a third of its service's flows, and requests go on coming over them.
// Harm: refused from the first moment, their callers try them again at once, and the retry budget of a tenth is spent
// before the idle flows are closed: a planned change answered with refusals.
// Limit: until the news is out, when the idle flows are closed and what comes after is new work.
bool refusesNewWork(const DrainProgress& progress, const DrainOptions& options, Millis now)
{
    return newsIsOut(progress, options, now);
}

DrainStep nextDrainStep(std::span<const DrainFlow> flows, const DrainProgress& progress, const DrainOptions& options, Millis now)
{
    if (flows.empty() && newsIsOut(progress, options, now) && callersWereTold(progress, options, now))
        return DrainStep::Done;
    if (options.limit > 0 && now - progress.startedAt >= options.limit)
        return DrainStep::LimitReached;
    return DrainStep::Wait;
}

}
