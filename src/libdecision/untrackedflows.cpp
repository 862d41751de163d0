#include "untrackedflows.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    bool showsNewUpstream(const UntrackedFlows& untracked, const UpstreamReport& report)
    {
        // The agent sees every flow of a process whose first report it receives.
        constexpr std::uint64_t firstSequence = 1;
        if (report.sequence <= firstSequence)
            return true;
        const bool hasStartedWithAgent = report.born + untracked.options.startBeforeLimit >= untracked.startedAtWall;
        return hasStartedWithAgent && report.sequence <= untracked.options.maxMissedReports;
    }

    bool isRefused(const UntrackedFlows& untracked)
    {
        return !untracked.isPresent && !untracked.mayRefuseConnections && untracked.refusals >= untracked.options.minRefusals && untracked.lastRefusalAt - untracked.firstRefusalAt >= untracked.options.refusalSpan;
    }

}

UntrackedFlowsOptions untrackedFlowsOptions(Millis reportInterval)
{
    constexpr Millis reportTimeout = 1000;
    constexpr Millis missingReports = 3;
    UntrackedFlowsOptions options;
    options.laterConnectDelay = std::max(options.laterConnectDelay, reportInterval + reportInterval / 2);
    options.silenceLimit = std::max(options.silenceLimit, missingReports * reportInterval + reportTimeout);
    return options;
}

void recordReport(UntrackedFlows& untracked, const UpstreamReport& report, bool isNewProcess)
{
    untracked.isKnownNew = untracked.isKnownNew || isNewProcess || (!untracked.hasReport && showsNewUpstream(untracked, report));
    untracked.hasReport = true;
    untracked.isGone = false;
    untracked.isGoneForCertain = false;
    untracked.isPresent = false;
    untracked.refusals = 0;
    untracked.silence = 0;
}

void recordReplacement(UntrackedFlows& untracked)
{
    untracked.isKnownNew = true;
}

void recordShutdown(UntrackedFlows& untracked)
{
    untracked.isGone = true;
    untracked.isGoneForCertain = true;
}

void recordFlowPacket(UntrackedFlows& untracked)
{
    untracked.silence = 0;
    untracked.refusals = 0;
    untracked.isGone = untracked.isGone && untracked.isGoneForCertain;
}

void recordConnection(UntrackedFlows& untracked, ConnectionOutcome outcome, Millis now)
{
    if (outcome != ConnectionOutcome::Refused) {
        untracked.isPresent = true;
        return;
    }
    if (untracked.refusals == 0)
        untracked.firstRefusalAt = now;
    untracked.lastRefusalAt = now;
    ++untracked.refusals;
}

bool recordListening(UntrackedFlows& untracked, Millis now)
{
    if (untracked.lastListenedAt != 0)
        untracked.silence += std::min(now - untracked.lastListenedAt, untracked.options.maxGap);
    untracked.lastListenedAt = now;
    if (untracked.isGone || (untracked.silence < untracked.options.silenceLimit && !isRefused(untracked)))
        return false;
    // A process that accepted a connection may be paused and continue with its flows, so it is asked again.
    if (untracked.isPresent) {
        untracked.isPresent = false;
        untracked.refusals = 0;
        untracked.silence = 0;
        return false;
    }
    untracked.isGone = true;
    return true;
}

void beginFinalCheck(UntrackedFlows& untracked)
{
    untracked.isFinalCheck = true;
    untracked.isPresent = false;
    untracked.refusals = 0;
}

bool mayBeFoundGone(const UntrackedFlows& untracked)
{
    return (!untracked.hasReport || untracked.isFinalCheck) && !untracked.isGone && !untracked.isPresent;
}

bool shouldConnect(const UntrackedFlows& untracked)
{
    if (untracked.isFinalCheck)
        return mayBeFoundGone(untracked);
    const Millis delay = untracked.hasReport ? untracked.options.laterConnectDelay : untracked.options.firstConnectDelay;
    return !untracked.isGone && !untracked.isKnownNew && !untracked.isPresent && untracked.silence >= delay;
}

bool knowsEveryFlow(const UntrackedFlows& untracked)
{
    return untracked.isKnownNew || untracked.isGone;
}

}
