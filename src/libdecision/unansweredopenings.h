#pragma once

#include "openingschedule.h"
#include "packet.h"

#include <unordered_map>
#include <vector>

namespace kingcuptrail {

/// An opening packet that was delivered to the upstream and that the upstream has not answered.
struct UnansweredOpening {
    FlowKey flow;
    Millis deliveredAt = 0;
    /// The balancer that sent the latest copy.
    std::uint32_t balancer = 0;
    std::vector<std::uint8_t> packet;
};

struct UnansweredOpeningOptions {
    /// Number of packets that are kept. An upstream answers within a few milliseconds, so that only one that is frozen or
    /// has ended accumulates them. Further openings are not kept, and their callers' copies find the next agent.
    std::size_t limit = 256;
    /// Older openings are not handed back, since their callers have given up. In milliseconds.
    Millis ageLimit = maxOpeningWait();
};

/// The opening packets that an agent can hand back when its upstream has ended. Balancers keep no copy of an admitted
/// opening and send the caller's copies to the same agent, so that only this packet lets them offer the opening elsewhere.
struct UnansweredOpenings {
    UnansweredOpeningOptions options;
    std::unordered_map<FlowKey, UnansweredOpening> openings;
};

/// Keeps the packet of an opening that is delivered. A copy replaces only the balancer.
void keepOpening(UnansweredOpenings&, const UnansweredOpening&);

/// Removes an opening, since the upstream has answered it or its caller has gone on.
void discardOpening(UnansweredOpenings&, const FlowKey&);

/// Removes openings that exceed the age limit.
void discardOldOpenings(UnansweredOpenings&, Millis now);

/// Removes all openings, and returns those whose callers may still be waiting.
std::vector<UnansweredOpening> takeUnanswered(UnansweredOpenings&, Millis now);

}
