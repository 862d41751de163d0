#include "closedflows.h"

namespace kingcuptrail {

namespace {

    void forgetOldest(ClosedFlows& closed)
    {
        closed.reasons.erase(closed.order.front().first);
        closed.order.pop_front();
    }

}

// Failure: a balancer stands still with a flow's open and first request in its hands, goes on when the flow has long
// ended, and sends them. The agent would open the flow again and run the request: work that its caller was told had not
// run. Flow ids are drawn at random and never used again, so an open of a flow that ended here can only be such a copy.
// The reason is kept because the one packet that told it may be lost: a caller whose idle flow was closed by a leaving
// agent would hear that its flow is unknown, and count a broken one.
void noteClosed(ClosedFlows& closed, const ClosedFlowOptions& options, FlowId flow, RefusalReason reason, Millis now)
{
    if (!options.guard || !closed.reasons.emplace(flow, reason).second)
        return;
    closed.order.emplace_back(flow, now);
    if (closed.order.size() > options.maxEntries)
        forgetOldest(closed);
}

std::optional<RefusalReason> closedReason(const ClosedFlows& closed, FlowId flow)
{
    const auto found = closed.reasons.find(flow);
    if (found == closed.reasons.end())
        return std::nullopt;
    return found->second;
}

std::size_t expireClosed(ClosedFlows& closed, const ClosedFlowOptions& options, Millis now)
{
    std::size_t forgotten = 0;
    while (!closed.order.empty() && now - closed.order.front().second > options.keepFor) {
        forgetOldest(closed);
        ++forgotten;
    }
    return forgotten;
}

}
