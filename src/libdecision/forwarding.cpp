#include "forwarding.h"

namespace kingcuptrail {

namespace {

    PacketVerdict reset(RefusalReason reason)
    {
        return { PacketAction::ReplyReset, reason };
    }

    // Forwards a packet, or drops it when its hops are used up. It is not reset, since another agent may hold the flow and
    // the reset would break it. The endpoints retransmit, and close a dead flow by its timeout.
    PacketVerdict forward(const PacketFacts& facts, PacketAction action)
    {
        if (facts.hops >= maxHops)
            return { PacketAction::Drop, RefusalReason::FlowUnknown };
        return { action, RefusalReason::None };
    }

    // When an address moves from one service to another, a balancer with an old configuration sends its packets to upstreams
    // of the old service, and one service could get another's uploads. Only the agent can check this, since it knows the
    // service of its upstream; an open flow keeps the address it was opened with. Such a packet of an open flow is dropped,
    // not reset, because the flow itself is intact and one misdirected packet must not end a feed.
    bool isServiceAccepted(const PacketFacts& facts, const ForwardingOptions& options)
    {
        return facts.serviceMatches || !options.serviceGuard;
    }

    PacketVerdict decideForHeldFlow(const PacketFacts& facts, const ForwardingOptions& options)
    {
        if (facts.dataCentreOut)
            return reset(RefusalReason::DataCentreOut);
        if (!isServiceAccepted(facts, options))
            return { PacketAction::Drop, RefusalReason::WrongService };
        return { PacketAction::Deliver, RefusalReason::None };
    }

    // Only the process that a token names can state that its flow has ended. A successor can state it for its predecessor,
    // since its incarnation was assigned only after the predecessor was fenced.
    PacketVerdict decideByToken(const PacketFacts& facts)
    {
        if (facts.tokenIsOwn)
            return reset(facts.dataCentreOut ? RefusalReason::DataCentreOut : facts.closeReason.value_or(RefusalReason::FlowUnknown));
        if (facts.tokenIsPredecessor)
            return reset(facts.dataCentreOut ? RefusalReason::DataCentreOut : RefusalReason::OwnerGone);
        return forward(facts, PacketAction::ForwardToOwner);
    }

    PacketVerdict decideForOpen(const PacketFacts& facts, const ForwardingOptions& options)
    {
        const bool canForward = facts.hops < maxHops;
        if (facts.closeReason)
            return reset(*facts.closeReason);
        if (facts.dataCentreOut)
            return canForward ? forward(facts, PacketAction::NextInRanking) : reset(RefusalReason::DataCentreOut);
        if (!isServiceAccepted(facts, options))
            return reset(RefusalReason::WrongService);
        if (facts.draining)
            return canForward ? forward(facts, PacketAction::NextInRanking) : reset(RefusalReason::UpstreamDraining);
        return { PacketAction::Open, RefusalReason::None };
    }

}

PacketVerdict decidePacket(const PacketFacts& facts, const ForwardingOptions& options)
{
    const bool tokenNamesOther = facts.hasToken && !facts.tokenIsOwn;
    if (facts.holdsFlow && !tokenNamesOther)
        return decideForHeldFlow(facts, options);
    if (facts.hasToken)
        return decideByToken(facts);
    if (facts.redirectFound)
        return forward(facts, PacketAction::ForwardToOwner);
    if (facts.isOpen)
        return decideForOpen(facts, options);
    return forward(facts, PacketAction::NextInRanking);
}

}
