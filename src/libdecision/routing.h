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
    /// To any linked agent, which passes it on: another balancer may be linked to the owner, or know it.
    AnyAgent,
    ResetFlow,
    Drop,
};

template <>
struct EnumNames<RouteAction> {
    static constexpr std::array<std::string_view, 4> names { "toMember", "anyAgent", "resetFlow", "drop" };
};

/// `member` counts with ToMember; `reason` with ResetFlow, and is counted with Drop.
struct RouteResult {
    RouteAction action = RouteAction::Drop;
    std::uint32_t member = 0;
    RefusalReason reason = RefusalReason::None;
};

/// Finds a member by its owner token: open addressing by upstream, at most half full. Holds indexes into the members
/// it was built from.
struct MemberIndex {
    struct Slot {
        OwnerToken token;
        std::uint32_t member = 0;
    };
    std::vector<Slot> slots;
    std::uint64_t mask = 0;
};

/// Builds the index anew; to be called whenever the members change, never for a packet.
MemberIndex buildMemberIndex(std::span<const Member> members);

/// What the index knows of a token.
struct MemberLookup {
    /// The member with exactly this token.
    std::optional<std::uint32_t> exact;
    /// The newest member with the same upstream and a larger incarnation.
    std::optional<std::uint32_t> successor;
};

MemberLookup findMember(const MemberIndex&, const OwnerToken& token);

/// Routes a packet that carries an owner token. `members` are those the index was built from: all services', since
/// the owner checks the service. `hops` are those the packet has made.
RouteResult routeByToken(const MemberIndex&, std::span<const Member> members, const OwnerToken& token, std::uint8_t hops);

/// What a balancer knows of a packet without an owner token.
struct UnownedPacket {
    FlowId flow = 0;
    bool isOpen = false;
    std::uint8_t hops = 0;
    /// Agents that did not hold the flow.
    std::span<const UpstreamId> visited;
};

/// Routes a packet without an owner token among the members of its service: by placing for an open that comes fresh,
/// otherwise down the ranking.
RouteResult routeUnowned(std::span<const Member> serviceMembers, const UnownedPacket&, const PlaceOptions&);

}
