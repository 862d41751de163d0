#pragma once

#include "member.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace kingcuptrail {

/// The weight of an upstream for a flow by highest random weight (rendezvous) hashing: a member that joins or leaves moves
/// only the flows that it gains or held. The incarnation is not hashed, so a restarted process keeps its rank.
std::uint64_t rankWeight(FlowId flow, UpstreamId upstream);

/// The indexes of all members, best first. Members in every state are ranked; callers skip those they may not use.
std::vector<std::size_t> rankMembers(FlowId flow, std::span<const Member> members);

/// The index of the best member for a flow that is not in `visited` and accepts packets, or nothing. Used for a packet
/// without an owner token that is forwarded down the ranking.
std::optional<std::size_t> nextInRanking(FlowId flow, std::span<const Member> members, std::span<const UpstreamId> visited);

}
