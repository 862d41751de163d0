#pragma once

#include "ids.h"

namespace kingcuptrail {

struct UpstreamHealthOptions {
    /// Requests in a row that the upstream broke off without any answer after which it counts as failing. More than one, since
    /// a request may just meet the end of an idle flow; a plain choice, low because each costs a caller its request.
    unsigned failuresNeeded = 3;
    /// Requests that must have gone without any answer for the latency target of their callers before the upstream counts as
    /// hanging. More than one, since the rest of a request may be lost on its way.
    unsigned unansweredNeeded = 3;
    /// For so long after it last failed one broken request is enough, in milliseconds: what has just come back and went
    /// again, often does so by turns of some seconds.
    Millis probation = 5000;
    /// How long a failing upstream gets no opening before one tries it, in milliseconds, at first and at most; doubled with each
    /// trial that fails. The longest stays well below the seconds that a restart takes.
    Millis firstTrial = 100;
    Millis longestTrial = 800;
};

/// Whether an upstream answers what it accepts, by what its agent sees pass.
/// Load: some of many upstreams come and go, or break: they accept flows and reset them with the first request, or never
/// answer, while their reports still say that they are ready. Harm: who breaks off at once looks idle and is offered more than
/// the others, and who hangs holds each request until its deadline. Refused here, an opening goes to another agent within a
/// round trip.
struct UpstreamHealth {
    UpstreamHealthOptions options;
    unsigned failures = 0;
    /// Requests since the last answer, and when the first of them came.
    unsigned unanswered = 0;
    Millis unansweredSince = 0;
    bool isFailing = false;
    /// When it last turned failing or broke a trial; 0 for never.
    Millis failedAt = 0;
    Millis trialInterval = 0;
    Millis nextTrialAt = 0;
};

/// The upstream answered a request.
void noteAnswered(UpstreamHealth&);

/// The upstream broke a request off without any answer; whether it counts as failing since this one.
bool noteBrokenOff(UpstreamHealth&, Millis now);

/// A request went to the upstream.
void noteRequest(UpstreamHealth&, Millis now);

/// Looks whether the upstream hangs, when its callers want answers within `latencyTarget`; whether it counts as failing since
/// now.
bool reviewUnanswered(UpstreamHealth&, Millis latencyTarget, Millis now);

/// Another process speaks for the upstream: requests to the one before it are no longer waited for.
void forgetRequests(UpstreamHealth&);

/// Whether an opening may go to the upstream now: always, or as a failing one's trial.
bool mayOpen(const UpstreamHealth&, Millis now);

/// An opening goes to the upstream. To a failing one it is a trial, and the next has to wait.
void noteOpening(UpstreamHealth&, Millis now);

}
