#pragma once

#include "refusal.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace kingcuptrail {

struct ClosedFlowOptions {
    /// How long a closed flow is remembered, in milliseconds. This must be longer than a link stays up while its balancer is
    /// paused.
    Millis retention = 60000;
    /// The maximum number of flows remembered, about 80 bytes each. 10,000 cover all flows of an upstream that closes them
    /// at once, plus about ten a second.
    std::size_t maxEntries = 10000;
    /// Test only: when off, nothing is remembered.
    bool guard = true;
};

/// Flows of this agent that were closed recently, with the reason.
struct ClosedFlows {
    std::unordered_map<FlowId, RefusalReason> reasons;
    /// The flows with their closing times, oldest first.
    std::deque<std::pair<FlowId, Millis>> order;
};

/// Records a closed flow; the reason is FlowUnknown if its caller closed it. When the table is full, the oldest entry is
/// removed.
void recordClosedFlow(ClosedFlows&, const ClosedFlowOptions&, FlowId, RefusalReason, Millis now);

/// The reason for which the flow was closed here, or nothing. Such a flow must not be opened again, and its late packets are
/// reset with this reason.
std::optional<RefusalReason> findCloseReason(const ClosedFlows&, FlowId);

/// Removes flows that were closed longer than `retention` ago and returns their number.
std::size_t expireClosedFlows(ClosedFlows&, const ClosedFlowOptions&, Millis now);

}
