#pragma once

#include "untrackedflows.h"

#include <optional>

namespace kingcuptrail {

struct UpstreamEndOptions {
    /// Number of unanswered packets that are a sign of the upstream's end. More than one, since a packet or its
    /// acknowledgement may be lost.
    std::uint32_t minUnanswered = 2;
    /// How long these packets must have been unanswered, in milliseconds. An upstream on the same host answers within a few
    /// milliseconds; the caller resends after 200.
    Millis unansweredLimit = 60;
    /// Minimum time between two connection attempts, in milliseconds. Also the minimum time between the refusals that show
    /// the end: an upstream that is replaced in between listens again or reports.
    Millis connectInterval = 100;
    std::uint32_t minRefusals = 2;
    /// The detection is checked every 20 ms. A longer gap between two checks means that this process was paused, and answers
    /// of the upstream may still be unread. In milliseconds.
    Millis maxGap = 60;
};

/// Finds out that the upstream's process has ended without a notice. Its host then refuses connections to its address at
/// once, which is certain; silence is not, since a frozen or hanging upstream still accepts connections. Without this the
/// requests at work there stay unanswered until their callers' deadlines. A connection is tried only after signs of an end,
/// since each one costs the upstream work.
struct UpstreamEndDetection {
    UpstreamEndOptions options;
    /// Packets delivered since the last packet from the upstream that require one in return.
    std::uint32_t unanswered = 0;
    /// Since when at least `minUnanswered` packets have been unanswered.
    Millis unansweredSince = 0;
    Millis lastPacketAt = 0;
    Millis lastCheckAt = 0;
    std::optional<Millis> lastAttemptAt;
    /// An attempt is in progress, and neither a packet nor a report has arrived since its start.
    bool isConnecting = false;
    std::uint32_t refusals = 0;
    /// A connection was accepted or had no clear outcome, so that further ones would prove nothing.
    bool isPresent = false;
};

/// Records that a packet was delivered that the upstream must answer: an opening packet or one with data.
void recordDelivery(UpstreamEndDetection&, Millis now);

/// Records a packet of any kind from the upstream. It discards all signs of an end.
void recordUpstreamPacket(UpstreamEndDetection&, Millis now);

/// Records a report of the upstream. It contradicts earlier refusals but answers no packet.
void recordUpstreamReport(UpstreamEndDetection&);

/// Forgets everything that was observed of an upstream's process, because it has ended or was replaced.
void forgetProcess(UpstreamEndDetection&);

/// Whether there are unanswered packets whose age has to be checked regularly.
bool needsCheck(const UpstreamEndDetection&);

/// Starts the clock by which a pause between two checks is detected.
void beginChecks(UpstreamEndDetection&, Millis now);

/// One of the regular checks: whether to try a connection to the upstream now.
bool shouldTryConnection(UpstreamEndDetection&, Millis now);

/// Records that a connection attempt was started.
void recordAttempt(UpstreamEndDetection&, Millis now);

/// Records the outcome of that attempt. Returns whether it shows that the upstream has ended.
bool recordAttemptOutcome(UpstreamEndDetection&, ConnectionOutcome);

}
