#pragma once

#include "ids.h"

namespace kingcuptrail {

struct UpstreamHealthOptions {
    /// Number of consecutive requests reset without an answer after which the upstream counts as failing. More than one,
    /// since a request may cross the upstream's close of an idle flow; low, since each one costs a caller its request.
    unsigned failureThreshold = 3;
    /// Number of requests that must be unanswered for the callers' latency target before the upstream counts as hanging.
    /// More than one, since the rest of a request may have been lost on its way.
    unsigned hangThreshold = 3;
    /// For this long after the last failure a single reset request is enough, in milliseconds. An upstream that has just
    /// recovered often fails again, in cycles of several seconds.
    Millis probation = 5000;
    /// How long a failing upstream gets no opening before one is sent as a trial, in milliseconds. Starts at `minTrialInterval`,
    /// doubles with each trial up to `maxTrialInterval`, which stays well below the several seconds of a restart.
    Millis minTrialInterval = 100;
    Millis maxTrialInterval = 800;
};

/// Whether an upstream answers the requests that it accepts, judged by the packets that pass its agent. A broken upstream
/// may accept flows and reset them at the first request, or never answer, while it still reports that it is ready. One that
/// resets at once seems idle and would be offered more flows than the others; one that hangs holds each request until its
/// deadline. If its agent refuses, an opening goes to another agent within a round trip.
struct UpstreamHealth {
    UpstreamHealthOptions options;
    unsigned failures = 0;
    /// Number of requests since the last answer, and the time of the first of them.
    unsigned unanswered = 0;
    Millis unansweredSince = 0;
    bool isFailing = false;
    /// When the upstream last became failing or reset a request while failing; 0 for never.
    Millis failedAt = 0;
    Millis trialInterval = 0;
    Millis nextTrialAt = 0;
};

/// Records that the upstream answered a request.
void recordAnswered(UpstreamHealth&);

/// Records that the upstream reset a request without an answer. Returns whether it became failing.
bool recordAborted(UpstreamHealth&, Millis now);

/// Records that a request was sent to the upstream.
void recordRequest(UpstreamHealth&, Millis now);

/// Checks whether the upstream hangs, given that callers expect answers within `latencyTarget`. Returns whether it became
/// failing.
bool detectHang(UpstreamHealth&, Millis latencyTarget, Millis now);

/// Clears the unanswered requests when a new process reports for the upstream, since the previous one will not answer them.
void clearUnanswered(UpstreamHealth&);

/// Whether an opening may be sent to the upstream now: always when it is healthy, and as a trial when it is failing.
bool acceptsOpening(const UpstreamHealth&, Millis now);

/// Records that an opening is sent to the upstream. For a failing upstream it is a trial and postpones the next one.
void recordOpening(UpstreamHealth&, Millis now);

}
