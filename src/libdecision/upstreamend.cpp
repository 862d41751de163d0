#include "upstreamend.h"

namespace kingcuptrail {

void recordDelivery(UpstreamEndDetection& detection, Millis now)
{
    if (++detection.unanswered == detection.options.minUnanswered)
        detection.unansweredSince = now;
}

void recordUpstreamPacket(UpstreamEndDetection& detection, Millis now)
{
    forgetProcess(detection);
    detection.lastPacketAt = now;
}

void recordUpstreamReport(UpstreamEndDetection& detection)
{
    detection.refusals = 0;
    detection.isConnecting = false;
}

void forgetProcess(UpstreamEndDetection& detection)
{
    detection.unanswered = 0;
    detection.refusals = 0;
    detection.isConnecting = false;
    detection.isPresent = false;
}

bool needsCheck(const UpstreamEndDetection& detection)
{
    return detection.unanswered >= detection.options.minUnanswered && !detection.isPresent;
}

void beginChecks(UpstreamEndDetection& detection, Millis now)
{
    detection.lastCheckAt = now;
}

bool shouldTryConnection(UpstreamEndDetection& detection, Millis now)
{
    const bool wasPaused = now - detection.lastCheckAt > detection.options.maxGap;
    detection.lastCheckAt = now;
    if (!needsCheck(detection))
        return false;
    if (wasPaused) {
        detection.unansweredSince = now;
        detection.refusals = 0;
        return false;
    }
    if (detection.isConnecting || now - detection.unansweredSince < detection.options.unansweredLimit)
        return false;
    return !detection.lastAttemptAt || now - *detection.lastAttemptAt >= detection.options.connectInterval;
}

void recordAttempt(UpstreamEndDetection& detection, Millis now)
{
    detection.lastAttemptAt = now;
    detection.isConnecting = true;
}

bool recordAttemptOutcome(UpstreamEndDetection& detection, ConnectionOutcome outcome)
{
    if (!detection.isConnecting)
        return false;
    detection.isConnecting = false;
    if (outcome != ConnectionOutcome::Refused) {
        detection.isPresent = true;
        detection.refusals = 0;
        return false;
    }
    return ++detection.refusals >= detection.options.minRefusals;
}

}
