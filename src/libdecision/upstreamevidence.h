#pragma once

#include "connectionoutcome.h"
#include "ids.h"

#include <optional>

namespace kingcuptrail {

struct UpstreamEvidenceOptions {
    /// How long the process that was last known to run at the upstream's address is certainly the only one there, in
    /// milliseconds. Later the address may belong to an upstream of another service.
    Millis reuseLimit = 1900;
    /// An upstream that has sent neither a report nor a packet for longer gets no new flow, in milliseconds. A frozen process
    /// keeps its connections, so they do not show that it works.
    Millis silenceLimit = 1900;
    /// How long before `reuseLimit` a connection to the upstream is tried, in milliseconds: enough for several attempts.
    Millis connectLead = 500;
    /// Minimum time between two attempts, and between the refusals that show the upstream's end, in milliseconds.
    Millis connectInterval = 100;
    std::uint32_t minRefusals = 2;
    /// The agent's checks come every 100 ms. If two are further apart, in milliseconds, the process was paused or is behind, and what
    /// it reads until the next check may have waited since the one before the gap.
    Millis maxCheckGap = 150;
};

/// When the upstream's process was last known to run. A report shows it for `reuseLimit`. Upstreams may report less often than
/// that; between two reports packets of flows that the process holds and an idle connection to it show that it has not been
/// replaced. The connection's end is certain, since the upstream runs on the agent's host, and a new one proves the same
/// process only while the address cannot have been reused. The connection is opened only when nothing else is recent, since
/// each one costs the upstream work.
struct UpstreamEvidence {
    UpstreamEvidenceOptions options;
    Millis runningAt = 0;
    /// The same by packets of flows alone. A report may be late, and a connection may have gone silent, so that its end never arrives.
    std::optional<Millis> provenAt;
    /// When the last report or packet arrived.
    Millis heardAt = 0;
    bool isConnected = false;
    bool isConnecting = false;
    /// A connection has ended and no other one has been tried since.
    bool hasLostConnection = false;
    std::optional<Millis> attemptedAt;
    std::uint32_t refusals = 0;
    /// When the last regular check ran, and the one before it if they were further apart than `maxCheckGap`.
    std::optional<Millis> checkedAt;
    std::optional<Millis> checkedBeforeGap;
};

/// Whether the identity of an upstream that reports at this interval can be known all the time, in milliseconds. When the
/// address may be reused sooner than a connection can be checked several times, reports have to come more often than that.
bool canBridgeReports(Millis addressReuse, Millis reportInterval);

/// The limits for an address that may be reused after `addressReuse` and an upstream that reports each `reportInterval`, in
/// milliseconds.
UpstreamEvidenceOptions evidenceOptions(Millis addressReuse, Millis reportInterval);

/// Records that the agent's regular check runs. Between two checks each socket is read.
void recordCheck(UpstreamEvidence&, Millis now);

/// Records a report of the process that was known before. It shows that the process ran when it was sent, at the last regular check at
/// the earliest. The time of reading says nothing: it may have waited while this process was paused.
void recordHeard(UpstreamEvidence&, Millis now);

/// Records a packet of a flow that the process which was known before holds.
void recordFlowEvidence(UpstreamEvidence&, Millis now);

/// Records that another process has taken over the address: nothing that showed the one before counts for it.
void recordReplaced(UpstreamEvidence&);

/// Whether to try a connection to the upstream now.
bool shouldConnect(const UpstreamEvidence&, Millis now);
void recordConnecting(UpstreamEvidence&, Millis now);

/// Records the outcome of that attempt. An accepted connection is to be kept while `isConnected` is set afterwards. Returns
/// whether refusals show that the upstream's process has ended.
bool recordConnectOutcome(UpstreamEvidence&, ConnectionOutcome, Millis now);

/// Record a check of the connection: it is still open, or it has ended since the last check.
void recordStillConnected(UpstreamEvidence&, Millis now);
void recordDisconnected(UpstreamEvidence&);

/// Whether the process that reported last is the one at the upstream's address.
bool isSameProcess(const UpstreamEvidence&, Millis now);

/// Whether packets of its flows show this.
bool isProven(const UpstreamEvidence&, Millis now);

/// When a report or packet that is read now was sent at the earliest.
Millis earliestSending(const UpstreamEvidence&, Millis now);

/// Whether the upstream has been heard recently enough to get new flows.
bool isResponsive(const UpstreamEvidence&, Millis now);

}
