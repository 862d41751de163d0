#pragma once

#include "ids.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace kingcuptrail {

struct RedirectOptions {
    /// Whether an agent that opens a flow tells the one that the ranking names first. Off: only packets without an owner
    /// token look for a flow, and they find it by walking the ranking; docs/MEASUREMENTS.md weighs the two.
    bool announce = false;
    /// Entries held at most; about 150 bytes each. 4,000 cover two targets' flows moving here at once.
    std::size_t maxEntries = 4000;
    /// How long an entry is kept without being renewed, in milliseconds.
    Millis keepFor = 600000;
};

struct RedirectEntry {
    OwnerToken owner;
    std::uint64_t order = 0;
    Millis notedAt = 0;
};

/// Who holds the flows that are looked for here, because the ranking names this agent first and another one opened
/// them. Losing an entry costs hops, never a flow: the packet walks the ranking.
struct Redirects {
    std::unordered_map<FlowId, RedirectEntry> entries;
    /// Flows, least recently noted first.
    std::map<std::uint64_t, FlowId> order;
    std::uint64_t lastOrder = 0;
};

/// Notes the owner of a flow. News from an older incarnation of the noted upstream is ignored. When full, the entry
/// noted longest ago goes.
void noteRedirect(Redirects&, const RedirectOptions&, FlowId, const OwnerToken& owner, Millis now);

/// The noted owner of a flow, or nothing.
std::optional<OwnerToken> findRedirect(const Redirects&, const RedirectOptions&, FlowId, Millis now);

/// Forgets a flow that has ended.
void forgetFlow(Redirects&, FlowId);

/// Forgets every flow of an owner that is gone; says how many.
std::size_t forgetOwner(Redirects&, const OwnerToken& owner);

/// Forgets entries older than `keepFor`, a bounded number in one call; says how many.
std::size_t expireRedirects(Redirects&, const RedirectOptions&, Millis now);

}
