#pragma once

#include "member.h"

#include <cstddef>
#include <optional>
#include <span>

namespace kingcuptrail {

/// How new flows are spread.
struct PlaceOptions {
    /// Whether the second-ranked member may be taken when it carries less. Off in the `ranking` baseline.
    bool secondChoice = true;
    /// The second choice is taken only when the first carries more than this many flows above it. News of load is
    /// about a second old, so small differences are noise.
    double secondChoiceMargin = 2;
    /// How often members tell their load, in milliseconds, and the longest such interval at which load is looked at.
    Millis newsInterval = 1000;
    Millis longestNewsInterval = 3000;
};

/// Where a new flow goes.
struct Placement {
    std::size_t member = 0;
    /// The first-ranked member that was passed over for its load, if one was.
    std::optional<std::size_t> passedOver;
};

/// Chooses a member for a new flow: the better of the two best-ranked members that are serving and linked.
std::optional<Placement> placeFlow(FlowId flow, std::span<const Member> members, const PlaceOptions& options);

}
