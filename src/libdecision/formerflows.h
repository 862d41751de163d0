#pragma once

#include "opengate.h"

namespace kingcuptrail {

struct FormerFlowsOptions {
    /// An upstream that was born this much before its agent's process, or later, was served by no earlier process, in
    /// milliseconds: one that ends is started again after a delay, and would have had to start, serve and end in between.
    std::uint64_t bornBeforeLimit = 150;
    /// Reports that such an upstream may have made in vain before its agent listened. It also bounds what a clock that was
    /// set between both starts can pretend.
    std::uint64_t reportsInVain = 3;
    /// Without any report the agent tries to connect to its upstream after this long, in milliseconds: a new upstream
    /// reports at once.
    Millis firstConnection = 200;
    /// The same after the last report. Above a heartbeat.
    Millis laterConnection = 2000;
    /// Refused connections, and the time between the first and the last, after which nobody is there, in milliseconds. Two,
    /// since an upstream that starts listens a moment later.
    std::uint32_t refusalsNeeded = 2;
    Millis refusalSpan = 100;
    /// An upstream that has said nothing for this long is gone, in milliseconds of running time. Above some heartbeats, one
    /// of which may wait a second for an answer on a connection that went silent.
    Millis silenceLimit = 4000;
    /// Of the time between two calls of noteListening at most so much counts as running, in milliseconds: a process that stood still has not
    /// listened.
    Millis longestGap = 200;
};

/// What an agent knows of flows that its upstream may hold and the agent has not seen: those from before its start.
/// Load: all hosts lose power; some come back without an upstream, since it was leaving, or hear its second report first.
/// Harm: such an agent could not say that a flow is not there, so that no search in the whole deployment ended for certain;
/// callers of lost flows waited for their deadlines until it had left.
struct FormerFlows {
    FormerFlowsOptions options;
    /// The process's start, in Unix milliseconds by the clock that the upstream's birth is told in.
    std::uint64_t startedAtWall = 0;
    bool hasReport = false;
    /// What the upstream holds was opened through this process.
    bool isProvedNew = false;
    /// Nobody is there who could hold anything.
    bool isGone = false;
    std::uint32_t refusals = 0;
    Millis firstRefusalAt = 0;
    Millis lastRefusalAt = 0;
    /// Somebody accepted a connection, or it hung: only silence can tell then.
    bool isAnybodyThere = false;
    Millis listenedAt = 0;
    Millis silence = 0;
};

/// Takes a report that is not stale; `isNewProcess` when another process spoke for the upstream before.
void takeSignOfLife(FormerFlows&, const UpstreamReport&, bool isNewProcess);

/// The upstream has said that it is gone.
void takeEnd(FormerFlows&);

enum class ConnectionOutcome : std::uint8_t {
    Accepted,
    Refused,
    Unclear,
};

/// Takes how a connection to the upstream ended.
void noteConnection(FormerFlows&, ConnectionOutcome, Millis now);

/// Counts the time in which the process listened; to be called a few times a second. True when it shows for the first time
/// that the upstream is gone.
bool noteListening(FormerFlows&, Millis now);

/// Whether it may soon show that nobody is there: no report has come and nobody has accepted a connection.
bool mayTurnOutGone(const FormerFlows&);

/// Whether a connection to the upstream would tell something now.
bool shouldConnect(const FormerFlows&);

/// Whether the upstream holds nothing that this process has not seen.
bool knowsEveryFlow(const FormerFlows&);

}
