#include "closedflows.h"

namespace kingcuptrail {

namespace {

    void removeOldest(ClosedFlows& closed)
    {
        closed.reasons.erase(closed.order.front().first);
        closed.order.pop_front();
    }

}

// A balancer that was paused may deliver a flow's open and first request long after the flow was closed. Without this record
// the agent would open the flow again and run a request that its caller was told had not run. Flow ids are random and never
// reused, so an open of a closed flow is always such a late copy. The reason is kept because the packet that reported it may
// be lost: the caller of an idle flow that a draining agent closed would otherwise be told that the flow is unknown and
// count it as broken.
void recordClosedFlow(ClosedFlows& closed, const ClosedFlowOptions& options, FlowId flow, RefusalReason reason, Millis now)
{
    if (!options.guard || !closed.reasons.emplace(flow, reason).second)
        return;
    closed.order.emplace_back(flow, now);
    if (closed.order.size() > options.maxEntries)
        removeOldest(closed);
}

std::optional<RefusalReason> findCloseReason(const ClosedFlows& closed, FlowId flow)
{
    const auto found = closed.reasons.find(flow);
    if (found == closed.reasons.end())
        return std::nullopt;
    return found->second;
}

std::size_t expireClosedFlows(ClosedFlows& closed, const ClosedFlowOptions& options, Millis now)
{
    std::size_t removed = 0;
    while (!closed.order.empty() && now - closed.order.front().second > options.retention) {
        removeOldest(closed);
        ++removed;
    }
    return removed;
}

}
