#pragma once

#include "refusal.h"

#include <optional>

namespace kingcuptrail {

/// Times a packet may be passed on. A flow's holder is its first or second choice, or one redirect away; each uneven
/// view adds one. More would let a packet whose flow is gone circle.
constexpr std::uint8_t maxHops = 4;

/// What an agent does with a packet.
enum class PacketAction : std::uint8_t {
    Deliver,
    Open,
    ForwardToOwner,
    NextInRanking,
    ReplyReset,
    Drop,
};

template <>
struct EnumNames<PacketAction> {
    static constexpr std::array<std::string_view, 6> names { "deliver", "open", "forwardToOwner", "nextInRanking", "replyReset", "drop" };
};

/// What an agent knows of a packet that has come from a balancer.
struct PacketFacts {
    bool isOpen = false;
    bool hasToken = false;
    /// The token names this process.
    bool tokenIsMine = false;
    /// The token names an older incarnation of this agent's upstream.
    bool tokenIsPredecessor = false;
    bool holdsFlow = false;
    /// The flow was held here and has ended a short while ago, for this reason.
    std::optional<RefusalReason> endedFor;
    bool redirectFound = false;
    /// For a flow held here: the packet's address is the one recorded at open. Otherwise: it is an address configured
    /// for this agent's service.
    bool serviceMatches = false;
    std::uint8_t hops = 0;
    bool draining = false;
    bool dataCentreOut = false;
};

/// `reason` counts with ReplyReset, and is counted with Drop.
struct PacketVerdict {
    PacketAction action = PacketAction::Drop;
    RefusalReason reason = RefusalReason::None;
};

struct ForwardingOptions {
    /// Test only: off, the packet's address is not looked at.
    bool serviceGuard = true;
};

/// Decides on one packet. Deliver and Open only ever come with `serviceMatches`.
PacketVerdict decidePacket(const PacketFacts&, const ForwardingOptions& options = {});

}
