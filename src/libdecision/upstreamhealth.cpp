#include "upstreamhealth.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    void beginFailing(UpstreamHealth& health, Millis now)
    {
        health.isFailing = true;
        health.failedAt = now;
        health.trialInterval = health.options.firstTrial;
        health.nextTrialAt = now + health.trialInterval;
    }

}

void noteAnswered(UpstreamHealth& health)
{
    health.unanswered = 0;
    health.failures = 0;
    health.isFailing = false;
}

bool noteBrokenOff(UpstreamHealth& health, Millis now)
{
    ++health.failures;
    // Requests in progress when it failed give no new information.
    if (health.isFailing) {
        health.failedAt = now;
        return false;
    }
    const bool isOnProbation = health.failedAt != 0 && now - health.failedAt < health.options.probation;
    if (health.failures < (isOnProbation ? 1 : health.options.failuresNeeded))
        return false;
    beginFailing(health, now);
    return true;
}

void noteRequest(UpstreamHealth& health, Millis now)
{
    if (health.unanswered++ == 0)
        health.unansweredSince = now;
}

bool reviewUnanswered(UpstreamHealth& health, Millis latencyTarget, Millis now)
{
    const bool isHanging = health.unanswered >= health.options.unansweredNeeded && now - health.unansweredSince > latencyTarget;
    if (!isHanging || health.isFailing)
        return false;
    beginFailing(health, now);
    return true;
}

void forgetRequests(UpstreamHealth& health)
{
    health.unanswered = 0;
}

bool mayOpen(const UpstreamHealth& health, Millis now)
{
    return !health.isFailing || now >= health.nextTrialAt;
}

void noteOpening(UpstreamHealth& health, Millis now)
{
    // Copies of a trial's opening packet don't count as further trials.
    if (!health.isFailing || now < health.nextTrialAt)
        return;
    health.trialInterval = std::min(health.trialInterval * 2, health.options.longestTrial);
    health.nextTrialAt = now + health.trialInterval;
}

}
