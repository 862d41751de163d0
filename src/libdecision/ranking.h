#pragma once

#include "member.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace kingcuptrail {

/// The weight of an upstream for a flow: highest random weight (rendezvous) hashing, so that a member that
/// joins or leaves moves only the flows it wins or held. Incarnations do not count: a restarted process keeps its place.
std::uint64_t rankWeight(FlowId flow, UpstreamId upstream);

/// The indexes of all members, best first. Members of every state are ranked; callers pass over those they may not use.
std::vector<std::size_t> rankMembers(FlowId flow, std::span<const Member> members);

/// The index of the best member for a flow that is not in `visited` and may get packets, or nothing.
/// Used for a packet without an owner token that has to be walked down the ranking.
std::optional<std::size_t> nextInRanking(FlowId flow, std::span<const Member> members, std::span<const UpstreamId> visited);

}
