#pragma once

#include "connectionoutcome.h"
#include "flowadmission.h"

namespace kingcuptrail {

struct UntrackedFlowsOptions {
    /// If the upstream started at most this long before its agent, or later, no earlier agent process has served it, in
    /// milliseconds. An agent that exits is restarted after a delay, so an earlier one would have had to start, serve and
    /// exit within this time.
    std::uint64_t startBeforeLimit = 150;
    /// Number of reports that such an upstream may have sent before its agent listened. The limit also bounds the effect of
    /// a clock that was set back between both starts, which makes an older upstream look new.
    std::uint64_t maxMissedReports = 3;
    /// If no report arrives, the agent tries to connect to its upstream after this long, in milliseconds. A new upstream
    /// reports at once.
    Millis firstConnectDelay = 200;
    /// The same delay after the last report, in milliseconds. Longer than a report interval.
    Millis laterConnectDelay = 2000;
    /// Number of refused connections, and minimum time between the first and the last in milliseconds, after which the
    /// upstream counts as gone. At least two, since an upstream that starts begins to listen a moment later.
    std::uint32_t minRefusals = 2;
    Millis refusalSpan = 100;
    /// An upstream that has sent nothing for this long and has not accepted a connection counts as gone, in milliseconds of the
    /// agent's running time. Longer than several report intervals, since a report may wait a second for an answer on a dead
    /// connection.
    Millis silenceLimit = 4000;
    /// The time between two calls of recordListening() counts up to this limit, in milliseconds. A longer gap means that the
    /// process was paused and did not listen.
    Millis maxGap = 200;
};

/// The limits for an upstream that reports at this interval, in milliseconds.
UntrackedFlowsOptions untrackedFlowsOptions(Millis reportInterval);

/// Decides whether the upstream may hold flows from before the agent's start, which the agent has not seen. After a power
/// failure of all hosts some agents start without an upstream, because it was being stopped, or receive its second report
/// first. Unless such an agent can deny a flow, no search for a lost flow in the deployment ends with certainty, and the
/// callers of lost flows wait for their deadlines.
struct UntrackedFlows {
    UntrackedFlowsOptions options;
    /// The process's start in Unix milliseconds, comparable with the start time in the upstream's reports.
    std::uint64_t startedAtWall = 0;
    bool hasReport = false;
    /// Every flow of the upstream was opened through this process.
    bool isKnownNew = false;
    /// No upstream process is running that could hold a flow.
    bool isGone = false;
    std::uint32_t refusals = 0;
    Millis firstRefusalAt = 0;
    Millis lastRefusalAt = 0;
    /// `isGone` rests on the upstream's own notice or on its closed port, not on refused connections or silence.
    bool isGoneForCertain = false;
    /// The upstream was draining when this was last known, so that it may refuse connections and serve its flows.
    bool mayRefuseConnections = false;
    /// The agent shuts down and has to find out whether its upstream is gone.
    bool isFinalCheck = false;
    /// A connection was accepted or timed out, so the upstream runs or is paused. After the silence limit it is asked again.
    bool isPresent = false;
    Millis lastListenedAt = 0;
    Millis silence = 0;
};

/// Records a report that is not stale. `isNewProcess` is set if the report before it came from another process.
void recordReport(UntrackedFlows&, const UpstreamReport&, bool isNewProcess);

/// Records that another process has certainly replaced the one that reported before.
void recordReplacement(UntrackedFlows&);

/// Records the upstream's notice that it shuts down, or that its port was closed.
void recordShutdown(UntrackedFlows&);

/// Records a packet of the upstream on one of its flows: it runs, although it may not report or may refuse connections.
void recordFlowPacket(UntrackedFlows&);

/// Records the outcome of a connection attempt to the upstream.
void recordConnection(UntrackedFlows&, ConnectionOutcome, Millis now);

/// Adds the time since the last call to the upstream's silence; to be called several times a second. Returns true when the
/// upstream is first found to be gone.
bool recordListening(UntrackedFlows&, Millis now);

/// Begins to check by connections whether the upstream is gone, although it has reported; for an agent that shuts down.
void beginFinalCheck(UntrackedFlows&);

/// Whether refused connections may soon show that there is no upstream: no report has arrived or the final check has begun, and no
/// connection was accepted.
bool mayBeFoundGone(const UntrackedFlows&);

/// Whether to try a connection to the upstream now.
bool shouldConnect(const UntrackedFlows&);

/// Whether the upstream holds no flow that this process has not seen.
bool knowsEveryFlow(const UntrackedFlows&);

}
