#include "routing.h"

#include "ranking.h"

#include <bit>

namespace kingcuptrail {

namespace {

    RouteResult toMember(std::size_t member)
    {
        return { RouteAction::ToMember, static_cast<std::uint32_t>(member), RefusalReason::None };
    }

    RouteResult reset(RefusalReason reason)
    {
        return { RouteAction::ResetFlow, 0, reason };
    }

    RouteResult relayToAnyAgent(std::uint8_t hops, RefusalReason reason)
    {
        if (hops >= maxHops)
            return { RouteAction::Drop, 0, reason };
        return { RouteAction::AnyAgent, 0, RefusalReason::None };
    }

    /// Upstream ids are hashes already; the multiplication only spreads the small ids of tests.
    std::uint64_t firstSlot(const MemberIndex& index, UpstreamId upstream)
    {
        return (upstream * 0x9e3779b97f4a7c15ULL >> 32) & index.mask;
    }

}

MemberIndex buildMemberIndex(std::span<const Member> members)
{
    MemberIndex index;
    index.slots.resize(std::bit_ceil(members.size() * 2 + 1));
    index.mask = index.slots.size() - 1;
    for (std::size_t member = 0; member < members.size(); ++member) {
        const OwnerToken& token = members[member].token;
        std::uint64_t slot = firstSlot(index, token.upstream);
        while (index.slots[slot].token.isSet())
            slot = (slot + 1) & index.mask;
        index.slots[slot] = { token, static_cast<std::uint32_t>(member) };
    }
    return index;
}

MemberLookup findMember(const MemberIndex& index, const OwnerToken& token)
{
    MemberLookup lookup;
    if (index.slots.empty())
        return lookup;
    Incarnation newest = token.incarnation;
    for (std::uint64_t slot = firstSlot(index, token.upstream); index.slots[slot].token.isSet(); slot = (slot + 1) & index.mask) {
        const MemberIndex::Slot& entry = index.slots[slot];
        if (entry.token.upstream != token.upstream)
            continue;
        if (entry.token == token)
            lookup.exact = entry.member;
        if (entry.token.incarnation > newest) {
            newest = entry.token.incarnation;
            lookup.successor = entry.member;
        }
    }
    return lookup;
}

// Membership changes reach balancers at different times: this one may not know a flow's owner yet, or may have lost its link
// to it, and a reset based on a stale view would cut a feed. A packet with an unknown token is therefore relayed through any
// agent and dropped when its hops are used up; the endpoints retransmit, and close the flow by its timeout if the owner is
// really gone. A reset is safe in three cases. A newer incarnation of the same upstream is known: incarnations are assigned
// by the platform and only grow, so the owner is fenced. The owner's host reports that nothing listens at its address any
// more: a running agent never closes its listener. Or operators have taken its data centre out.
RouteResult routeByToken(const MemberIndex& index, std::span<const Member> members, const OwnerToken& token, std::uint8_t hops)
{
    const MemberLookup lookup = findMember(index, token);
    if (lookup.exact) {
        const Member& member = members[*lookup.exact];
        if (member.state == MemberState::Out)
            return reset(RefusalReason::DataCentreOut);
        if (member.linked)
            return toMember(*lookup.exact);
        return lookup.successor || member.gone ? reset(RefusalReason::OwnerGone) : relayToAnyAgent(hops, RefusalReason::UpstreamLost);
    }
    if (!lookup.successor)
        return relayToAnyAgent(hops, RefusalReason::OwnerGone);
    const bool isOut = members[*lookup.successor].state == MemberState::Out;
    return reset(isOut ? RefusalReason::DataCentreOut : RefusalReason::OwnerGone);
}

RouteResult routeUnowned(std::span<const Member> serviceMembers, const UnownedPacket& packet, const PlaceOptions& options)
{
    const bool isNewFlow = packet.isOpen && packet.visited.empty();
    if (isNewFlow) {
        const auto placement = placeFlow(packet.flow, serviceMembers, options);
        return placement ? toMember(placement->member) : reset(RefusalReason::NoUpstream);
    }
    const auto next = nextInRanking(packet.flow, serviceMembers, packet.visited);
    if (next)
        return toMember(*next);
    if (packet.isOpen)
        return reset(RefusalReason::NoUpstream);
    return { RouteAction::Drop, 0, RefusalReason::FlowUnknown };
}

}
