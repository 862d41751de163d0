#include "upstreamhealth.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    void markFailing(UpstreamHealth& health, Millis now)
    {
        health.isFailing = true;
        health.failedAt = now;
        health.trialInterval = health.options.minTrialInterval;
        health.nextTrialAt = now + health.trialInterval;
    }

}

void recordAnswered(UpstreamHealth& health)
{
    health.unanswered = 0;
    health.failures = 0;
    health.isFailing = false;
}

bool recordAborted(UpstreamHealth& health, Millis now)
{
    ++health.failures;
    // Requests in progress when it failed give no new information.
    if (health.isFailing) {
        health.failedAt = now;
        return false;
    }
    const bool isOnProbation = health.failedAt != 0 && now - health.failedAt < health.options.probation;
    if (health.failures < (isOnProbation ? 1 : health.options.failureThreshold))
        return false;
    markFailing(health, now);
    return true;
}

void recordRequest(UpstreamHealth& health, Millis now)
{
    if (health.unanswered++ == 0)
        health.unansweredSince = now;
}

bool detectHang(UpstreamHealth& health, Millis latencyTarget, Millis now)
{
    const bool isHanging = health.unanswered >= health.options.hangThreshold && now - health.unansweredSince > latencyTarget;
    if (!isHanging || health.isFailing)
        return false;
    markFailing(health, now);
    return true;
}

void clearUnanswered(UpstreamHealth& health)
{
    health.unanswered = 0;
}

bool acceptsOpening(const UpstreamHealth& health, Millis now)
{
    return !health.isFailing || now >= health.nextTrialAt;
}

void recordOpening(UpstreamHealth& health, Millis now)
{
    // Copies of a trial's opening packet don't count as further trials.
    if (!health.isFailing || now < health.nextTrialAt)
        return;
    health.trialInterval = std::min(health.trialInterval * 2, health.options.maxTrialInterval);
    health.nextTrialAt = now + health.trialInterval;
}

}
