#include "formerflows.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    bool showsNewUpstream(const FormerFlows& former, const UpstreamReport& report)
    {
        // The agent sees every flow of a process whose first report it receives.
        constexpr std::uint64_t firstSequence = 1;
        if (report.sequence <= firstSequence)
            return true;
        const bool isBornHere = report.born + former.options.bornBeforeLimit >= former.startedAtWall;
        return isBornHere && report.sequence <= former.options.reportsInVain;
    }

    bool isRefused(const FormerFlows& former)
    {
        return !former.isAnybodyThere && former.refusals >= former.options.refusalsNeeded && former.lastRefusalAt - former.firstRefusalAt >= former.options.refusalSpan;
    }

}

void takeSignOfLife(FormerFlows& former, const UpstreamReport& report, bool isNewProcess)
{
    former.isProvedNew = former.isProvedNew || isNewProcess || (!former.hasReport && showsNewUpstream(former, report));
    former.hasReport = true;
    former.isGone = false;
    former.isAnybodyThere = false;
    former.refusals = 0;
    former.silence = 0;
}

void takeEnd(FormerFlows& former)
{
    former.isGone = true;
}

void noteConnection(FormerFlows& former, ConnectionOutcome outcome, Millis now)
{
    if (outcome != ConnectionOutcome::Refused) {
        former.isAnybodyThere = true;
        return;
    }
    if (former.refusals == 0)
        former.firstRefusalAt = now;
    former.lastRefusalAt = now;
    ++former.refusals;
}

bool noteListening(FormerFlows& former, Millis now)
{
    if (former.listenedAt != 0)
        former.silence += std::min(now - former.listenedAt, former.options.longestGap);
    former.listenedAt = now;
    if (former.isGone || (former.silence < former.options.silenceLimit && !isRefused(former)))
        return false;
    former.isGone = true;
    return true;
}

bool mayTurnOutGone(const FormerFlows& former)
{
    return !former.hasReport && !former.isGone && !former.isAnybodyThere;
}

bool shouldConnect(const FormerFlows& former)
{
    const Millis patience = former.hasReport ? former.options.laterConnection : former.options.firstConnection;
    return !former.isGone && !former.isProvedNew && !former.isAnybodyThere && former.silence >= patience;
}

bool knowsEveryFlow(const FormerFlows& former)
{
    return former.isProvedNew || former.isGone;
}

}
