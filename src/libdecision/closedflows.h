#pragma once

#include "refusal.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace kingcuptrail {

struct ClosedFlowOptions {
    /// How long an ended flow is remembered, in milliseconds: longer than a link stays up while its balancer stands still.
    Millis keepFor = 60000;
    /// Flows remembered at most; about 80 bytes each. 10,000 cover all flows of a target that ends them at once, and
    /// some ten a second besides.
    std::size_t maxEntries = 10000;
    /// Test only: off, nothing is remembered.
    bool guard = true;
};

/// Flows that an agent held and that have ended a short while ago, with the reason.
struct ClosedFlows {
    std::unordered_map<FlowId, RefusalReason> reasons;
    /// Oldest first, with the time each ended.
    std::deque<std::pair<FlowId, Millis>> order;
};

/// Remembers a flow that has ended; FlowUnknown when its caller closed it. When full, the one that ended longest ago goes.
void noteClosed(ClosedFlows&, const ClosedFlowOptions&, FlowId, RefusalReason, Millis now);

/// Why the flow has ended here, if it has; it must not be opened again, and its late packets are told this reason.
std::optional<RefusalReason> closedReason(const ClosedFlows&, FlowId);

/// Forgets flows that ended longer than `keepFor` ago; says how many.
std::size_t expireClosed(ClosedFlows&, const ClosedFlowOptions&, Millis now);

}
