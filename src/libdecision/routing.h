#pragma once

#include "forwarding.h"
#include "member.h"
#include "placing.h"

#include <optional>
#include <span>
#include <vector>

namespace kingcuptrail {

/// What a balancer does with a packet.
enum class RouteAction : std::uint8_t {
    ToMember,
    /// Send it to any linked agent, which forwards it: another balancer may be linked to the owner or know it.
    AnyAgent,
    ResetFlow,
    Drop,
};

template <>
struct EnumNames<RouteAction> {
    static constexpr std::array<std::string_view, 4> names { "toMember", "anyAgent", "resetFlow", "drop" };
};

/// `member` is valid with ToMember; `reason` is sent with ResetFlow and only counted with Drop.
struct RouteResult {
    RouteAction action = RouteAction::Drop;
    std::uint32_t member = 0;
    RefusalReason reason = RefusalReason::None;
};

/// An index of members by owner token: a hash table with open addressing by upstream, at most half full. It holds indexes
/// into the members it was built from.
struct MemberIndex {
    struct Slot {
        OwnerToken token;
        std::uint32_t member = 0;
    };
    std::vector<Slot> slots;
    std::uint64_t mask = 0;
};

/// Builds the index. To be called whenever the members change, never for a packet.
MemberIndex buildMemberIndex(std::span<const Member> members);

/// The result of a lookup of a token.
struct MemberLookup {
    /// The member with exactly this token.
    std::optional<std::uint32_t> exact;
    /// The newest member with the same upstream and a larger incarnation.
    std::optional<std::uint32_t> successor;
};

MemberLookup findMember(const MemberIndex&, const OwnerToken& token);

/// Routes a packet with an owner token. `members` are those that the index was built from, of all services, since the owner
/// checks the service. `hops` is the number of hops that the packet has made.
RouteResult routeByToken(const MemberIndex&, std::span<const Member> members, const OwnerToken& token, std::uint8_t hops);

/// What a balancer knows about a packet without an owner token.
struct UnownedPacket {
    FlowId flow = 0;
    bool isOpen = false;
    std::uint8_t hops = 0;
    /// Upstreams whose agents did not hold the flow.
    std::span<const UpstreamId> visited;
};

/// Routes a packet without an owner token among the members of its service: a new flow is placed, any other packet is
/// forwarded down the ranking.
RouteResult routeUnowned(std::span<const Member> serviceMembers, const UnownedPacket&, const PlaceOptions&);

}
