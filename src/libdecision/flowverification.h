#pragma once

#include "agentflows.h"

#include <optional>

namespace kingcuptrail {

struct FlowVerificationOptions {
    /// Time between two copies of a flow's packet, in milliseconds: the interval at which callers retransmit.
    Millis interval = 200;
    /// Copies of each flow's packet. More than one, since a datagram may be lost.
    unsigned copies = 3;
    /// Copies sent in one step of 20 ms, so that a full table does not overflow the upstream's socket.
    std::size_t copiesPerStep = 64;
};

/// A flow of which it is not known whether the upstream holds it.
struct UnverifiedFlow {
    unsigned copiesSent = 0;
    Millis nextCopyAt = 0;
};

/// Finds out which flows the process at the upstream's address holds, after signs that this is another process than before, or
/// that there is none. Such signs concern a process, and a flow may be reset only when the process that holds it is gone:
/// a report may be late or overtaken, flows may have been opened at the new process before its first report, and an
/// upstream that refuses connections may serve its flows all the same. Therefore a packet that the caller has sent before is
/// delivered again, unchanged. A process that does not hold the flow returns it, and one that does takes it for a
/// retransmission.
struct FlowVerification {
    FlowVerificationOptions options;
    Millis begunAt = 0;
    std::unordered_map<FlowKey, UnverifiedFlow> flows;
};

/// Begins to verify every open flow of the table of which a packet is kept. Returns their number.
std::size_t beginVerification(FlowVerification&, const AgentFlows&, Millis now);

/// The flows of which a copy is to be sent now, in steps of 20 ms. Flows that have closed, that the upstream has sent
/// a packet of since the beginning, or whose copies have all been sent without an effect are dropped; they stay in the table.
std::vector<FlowKey> takeDueCopies(FlowVerification&, const AgentFlows&, Millis now);

/// Records that the upstream has returned a packet of this flow, and removes the flow from the table. Returns it if its caller
/// has to be reset: it was being verified, and this upstream has held it before.
std::optional<LostFlow> recordReturned(FlowVerification&, AgentFlows&, const FlowKey&);

}
