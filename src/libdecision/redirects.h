#pragma once

#include "ids.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace kingcuptrail {

struct RedirectOptions {
    /// Whether an agent that opens a flow informs the agent that the ranking names first. When off, packets without an owner
    /// token find their flow by following the ranking; docs/MEASUREMENTS.md compares the two.
    bool announce = false;
    /// The maximum number of entries, about 150 bytes each. 4,000 cover the flows of two upstreams that move here at once.
    std::size_t maxEntries = 4000;
    /// How long an entry is kept without renewal, in milliseconds.
    Millis retention = 600000;
};

struct RedirectEntry {
    OwnerToken owner;
    std::uint64_t order = 0;
    Millis recordedAt = 0;
};

/// The owners of flows for which the ranking names this agent first, but that another agent opened. A lost entry costs hops
/// but no flow, since the packet follows the ranking.
struct Redirects {
    std::unordered_map<FlowId, RedirectEntry> entries;
    /// Flows in the order in which they were last recorded, oldest first.
    std::map<std::uint64_t, FlowId> order;
    std::uint64_t lastOrder = 0;
};

/// Records the owner of a flow. An older incarnation of the recorded upstream is ignored. When the table is full, the oldest
/// entry is removed.
void recordRedirect(Redirects&, const RedirectOptions&, FlowId, const OwnerToken& owner, Millis now);

/// The recorded owner of a flow, or nothing.
std::optional<OwnerToken> findRedirect(const Redirects&, const RedirectOptions&, FlowId, Millis now);

/// Removes a flow that was closed.
void removeRedirect(Redirects&, FlowId);

/// Removes all flows of an owner that is gone and returns their number.
std::size_t removeOwner(Redirects&, const OwnerToken& owner);

/// Removes entries older than `retention`, a bounded number in one call. Returns the number removed.
std::size_t expireRedirects(Redirects&, const RedirectOptions&, Millis now);

}
