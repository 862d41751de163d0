#include "forwarding.h"

namespace kingcuptrail {

namespace {

    PacketVerdict reset(RefusalReason reason)
    {
        return { PacketAction::ReplyReset, reason };
    }

    // A packet that has used up its hops is dropped, not reset: this agent cannot know that no other holds the flow, and
    // a reset would break one that lives. The endpoints send it again, and give a dead flow up by its silence.
    PacketVerdict passOn(const PacketFacts& facts, PacketAction action)
    {
        if (facts.hops >= maxHops)
            return { PacketAction::Drop, RefusalReason::FlowUnknown };
        return { action, RefusalReason::None };
    }

    // Failure: an address has moved from one service to another, a balancer has not heard of it yet, and its packets
    // arrive at the old service's upstreams. It would show as one service's upload at another service. Only the agent can know, since
    // only it knows which service its upstream belongs to; a held flow keeps the address it was opened with.
    // Such a packet of a held flow is dropped, not reset: the flow itself is in order, and one stray packet must not end
    // a feed.
    bool serviceIsRight(const PacketFacts& facts, const ForwardingOptions& options)
    {
        return facts.serviceMatches || !options.serviceGuard;
    }

    PacketVerdict decideHeld(const PacketFacts& facts, const ForwardingOptions& options)
    {
        if (facts.dataCentreOut)
            return reset(RefusalReason::DataCentreOut);
        if (!serviceIsRight(facts, options))
            return { PacketAction::Drop, RefusalReason::WrongService };
        return { PacketAction::Deliver, RefusalReason::None };
    }

    // Only the process that a token names can say that its flow has ended; a successor can say it of its predecessor,
    // since its incarnation was given out only when the predecessor's had been fenced.
    PacketVerdict decideOwned(const PacketFacts& facts)
    {
        if (facts.tokenIsMine)
            return reset(facts.dataCentreOut ? RefusalReason::DataCentreOut : facts.endedFor.value_or(RefusalReason::FlowUnknown));
        if (facts.tokenIsPredecessor)
            return reset(facts.dataCentreOut ? RefusalReason::DataCentreOut : RefusalReason::OwnerGone);
        return passOn(facts, PacketAction::ForwardToOwner);
    }

    PacketVerdict decideOpen(const PacketFacts& facts, const ForwardingOptions& options)
    {
        const bool mayPassOn = facts.hops < maxHops;
        if (facts.endedFor)
            return reset(*facts.endedFor);
        if (facts.dataCentreOut)
            return mayPassOn ? passOn(facts, PacketAction::NextInRanking) : reset(RefusalReason::DataCentreOut);
        if (!serviceIsRight(facts, options))
            return reset(RefusalReason::WrongService);
        if (facts.draining)
            return mayPassOn ? passOn(facts, PacketAction::NextInRanking) : reset(RefusalReason::UpstreamDraining);
        return { PacketAction::Open, RefusalReason::None };
    }

}

PacketVerdict decidePacket(const PacketFacts& facts, const ForwardingOptions& options)
{
    const bool namesAnother = facts.hasToken && !facts.tokenIsMine;
    if (facts.holdsFlow && !namesAnother)
        return decideHeld(facts, options);
    if (facts.hasToken)
        return decideOwned(facts);
    if (facts.redirectFound)
        return passOn(facts, PacketAction::ForwardToOwner);
    if (facts.isOpen)
        return decideOpen(facts, options);
    return passOn(facts, PacketAction::NextInRanking);
}

}
