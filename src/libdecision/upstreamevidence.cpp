#include "upstreamevidence.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// How long before an address may be reused nothing is sent to it any more, in milliseconds. A packet is delivered within a
    /// few milliseconds.
    constexpr Millis reuseMargin = 100;
    /// The smallest share of the reuse time in which a connection can be checked and replaced, in milliseconds: several of the
    /// agent's checks.
    constexpr Millis minBridgedReuse = 1000;

    /// The time after which a report counts as missing: its interval and half of it, since upstreams report only
    /// approximately at their interval.
    Millis overdueAfter(Millis reportInterval)
    {
        return reportInterval + reportInterval / 2;
    }

}

bool canBridgeReports(Millis addressReuse, Millis reportInterval)
{
    return addressReuse >= minBridgedReuse || overdueAfter(reportInterval) <= addressReuse - reuseMargin;
}

UpstreamEvidenceOptions evidenceOptions(Millis addressReuse, Millis reportInterval)
{
    UpstreamEvidenceOptions options;
    options.reuseLimit = addressReuse - reuseMargin;
    options.silenceLimit = std::max(options.reuseLimit, overdueAfter(reportInterval));
    options.connectLead = std::min(options.connectLead, options.reuseLimit / 2);
    return options;
}

void recordCheck(UpstreamEvidence& evidence, Millis now)
{
    const bool isLate = evidence.checkedAt && now - *evidence.checkedAt > evidence.options.maxCheckGap;
    evidence.checkedBeforeGap = isLate ? evidence.checkedAt : std::nullopt;
    evidence.checkedAt = now;
}

void recordHeard(UpstreamEvidence& evidence, Millis now)
{
    evidence.runningAt = std::max(evidence.runningAt, earliestSending(evidence, now));
    evidence.heardAt = now;
    evidence.refusals = 0;
}

void recordFlowEvidence(UpstreamEvidence& evidence, Millis now)
{
    recordHeard(evidence, now);
    evidence.provenAt = std::max(evidence.provenAt.value_or(0), earliestSending(evidence, now));
}

void recordReplaced(UpstreamEvidence& evidence)
{
    evidence.runningAt = 0;
    evidence.provenAt.reset();
    if (evidence.isConnected)
        recordDisconnected(evidence);
}

bool shouldConnect(const UpstreamEvidence& evidence, Millis now)
{
    if (evidence.isConnected || evidence.isConnecting || !isSameProcess(evidence, now))
        return false;
    if (evidence.attemptedAt && now - *evidence.attemptedAt < evidence.options.connectInterval)
        return false;
    return evidence.hasLostConnection || evidence.refusals > 0 || now - evidence.runningAt >= evidence.options.reuseLimit - evidence.options.connectLead;
}

void recordConnecting(UpstreamEvidence& evidence, Millis now)
{
    evidence.isConnecting = true;
    evidence.hasLostConnection = false;
    evidence.attemptedAt = now;
}

bool recordConnectOutcome(UpstreamEvidence& evidence, ConnectionOutcome outcome, Millis now)
{
    evidence.isConnecting = false;
    switch (outcome) {
    case ConnectionOutcome::Accepted:
        evidence.refusals = 0;
        // A process that accepts after the limit may be another one. The accepting process ran when the attempt began or later.
        evidence.isConnected = isSameProcess(evidence, now);
        if (evidence.isConnected)
            evidence.runningAt = std::max(evidence.runningAt, evidence.attemptedAt.value_or(evidence.runningAt));
        return false;
    case ConnectionOutcome::Refused:
        return ++evidence.refusals >= evidence.options.minRefusals;
    case ConnectionOutcome::Unclear:
        break;
    }
    return false;
}

void recordStillConnected(UpstreamEvidence& evidence, Millis now)
{
    evidence.runningAt = now;
}

void recordDisconnected(UpstreamEvidence& evidence)
{
    evidence.isConnected = false;
    evidence.hasLostConnection = true;
}

bool isSameProcess(const UpstreamEvidence& evidence, Millis now)
{
    return now - evidence.runningAt <= evidence.options.reuseLimit;
}

bool isProven(const UpstreamEvidence& evidence, Millis now)
{
    return evidence.provenAt && now - *evidence.provenAt <= evidence.options.reuseLimit;
}

Millis earliestSending(const UpstreamEvidence& evidence, Millis now)
{
    return evidence.checkedBeforeGap.value_or(evidence.checkedAt.value_or(now));
}

bool isResponsive(const UpstreamEvidence& evidence, Millis now)
{
    return now - evidence.heardAt <= evidence.options.silenceLimit;
}

}
