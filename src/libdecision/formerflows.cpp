#include "formerflows.h"

#include <algorithm>

namespace kingcuptrail {

bool takeFirstReport(FormerFlows& former, const UpstreamReport& report)
{
    former.hasReport = true;
    // Everything that a process which reports for the first time will hold passes here.
    constexpr std::uint64_t firstSequence = 1;
    if (report.sequence <= firstSequence)
        return true;
    const bool isBornHere = report.born + former.options.bornBeforeLimit >= former.startedAtWall;
    return isBornHere && report.sequence <= former.options.reportsInVain;
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

void look(FormerFlows& former, Millis now)
{
    if (former.lookedAt != 0)
        former.silence += std::min(now - former.lookedAt, former.options.longestLook);
    former.lookedAt = now;
}

bool shouldConnect(const FormerFlows& former)
{
    return !former.hasReport && !former.isAnybodyThere && former.silence >= former.options.firstConnection && !isUpstreamGone(former);
}

bool isUpstreamGone(const FormerFlows& former)
{
    if (former.hasReport)
        return false;
    if (former.silence >= former.options.silenceLimit)
        return true;
    const bool isRefusedTwice = former.refusals >= former.options.refusalsNeeded && former.lastRefusalAt - former.firstRefusalAt >= former.options.refusalSpan;
    return isRefusedTwice && !former.isAnybodyThere;
}

}
