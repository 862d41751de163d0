#pragma once

#include "refusal.h"

#include <optional>

namespace kingcuptrail {

/// The maximum number of times a packet is forwarded. A flow's owner is its first or second choice, or one redirect away;
/// each inconsistent view adds one hop. With a higher limit a packet of a closed flow could circulate.
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

/// What an agent knows about a packet that a balancer sent.
struct PacketFacts {
    bool isOpen = false;
    bool hasToken = false;
    /// The owner token names this process.
    bool tokenIsOwn = false;
    /// The owner token names an older incarnation of this agent's upstream.
    bool tokenIsPredecessor = false;
    bool holdsFlow = false;
    /// The reason for which the flow was closed here recently.
    std::optional<RefusalReason> closeReason;
    bool redirectFound = false;
    /// For a flow held here: the packet's address is the one recorded at open. Otherwise: the address is configured for this
    /// agent's service.
    bool serviceMatches = false;
    std::uint8_t hops = 0;
    bool draining = false;
    bool dataCentreOut = false;
};

/// `reason` is sent with ReplyReset and only counted with Drop.
struct PacketVerdict {
    PacketAction action = PacketAction::Drop;
    RefusalReason reason = RefusalReason::None;
};

struct ForwardingOptions {
    /// Test only: when off, the packet's address is not checked.
    bool serviceGuard = true;
};

/// Decides what to do with one packet. Deliver and Open are returned only if `serviceMatches`.
PacketVerdict decidePacket(const PacketFacts&, const ForwardingOptions& options = {});

}
