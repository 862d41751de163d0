#pragma once

#include "member.h"

#include <cstddef>
#include <optional>
#include <span>

namespace kingcuptrail {

/// Options of the placement of new flows.
struct PlaceOptions {
    /// Whether the second-ranked member may be chosen if its load is lower. Off in the `ranking` baseline.
    bool secondChoice = true;
    /// The second choice is used only if the first has more than this many flows above it. Load reports are about a second
    /// old, so smaller differences are noise.
    double secondChoiceMargin = 2;
    /// How often members report their load, in milliseconds, and the longest interval at which load is considered.
    Millis loadReportInterval = 1000;
    Millis maxLoadReportInterval = 3000;
};

/// The placement of a new flow.
struct Placement {
    std::size_t member = 0;
    /// The first-ranked member, if it was skipped because of its load.
    std::optional<std::size_t> passedOver;
};

/// Chooses a member for a new flow: the less loaded of the two best-ranked members that are serving and linked.
std::optional<Placement> placeFlow(FlowId flow, std::span<const Member> members, const PlaceOptions& options);

}
