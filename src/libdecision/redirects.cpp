#include "redirects.h"

#include <vector>

namespace kingcuptrail {

namespace {

    /// The maximum number of entries removed in one call, so that packets are not delayed.
    constexpr std::size_t expiredPerCall = 256;

    void removeEntry(Redirects& redirects, std::unordered_map<FlowId, RedirectEntry>::iterator entry)
    {
        redirects.order.erase(entry->second.order);
        redirects.entries.erase(entry);
    }

    void removeOldest(Redirects& redirects)
    {
        removeEntry(redirects, redirects.entries.find(redirects.order.begin()->second));
    }

    bool isOlder(const OwnerToken& offered, const OwnerToken& held)
    {
        return offered.upstream == held.upstream && offered.incarnation < held.incarnation;
    }

}

// Tens of thousands of flows may need a redirect when a data centre returns: those opened by their second choice, and those
// whose first choice is now this agent. Without a bound, redirects of flows that were closed long ago would use up the
// agent's memory. The oldest entry is removed first, since owners renew the entries of their open flows. A lost entry costs
// the next packet without a token up to `maxHops` hops, and packets with a token nothing.
void recordRedirect(Redirects& redirects, const RedirectOptions& options, FlowId flow, const OwnerToken& owner, Millis now)
{
    const auto found = redirects.entries.find(flow);
    if (found != redirects.entries.end()) {
        if (isOlder(owner, found->second.owner))
            return;
        removeEntry(redirects, found);
    }
    if (options.maxEntries == 0)
        return;
    while (redirects.entries.size() >= options.maxEntries)
        removeOldest(redirects);
    const std::uint64_t order = ++redirects.lastOrder;
    redirects.entries.emplace(flow, RedirectEntry { .owner = owner, .order = order, .recordedAt = now });
    redirects.order.emplace(order, flow);
}

std::optional<OwnerToken> findRedirect(const Redirects& redirects, const RedirectOptions& options, FlowId flow, Millis now)
{
    const auto found = redirects.entries.find(flow);
    if (found == redirects.entries.end() || now - found->second.recordedAt > options.retention)
        return std::nullopt;
    return found->second.owner;
}

void removeRedirect(Redirects& redirects, FlowId flow)
{
    const auto found = redirects.entries.find(flow);
    if (found != redirects.entries.end())
        removeEntry(redirects, found);
}

std::size_t removeOwner(Redirects& redirects, const OwnerToken& owner)
{
    std::vector<FlowId> flows;
    for (const auto& [flow, entry] : redirects.entries) {
        if (entry.owner == owner)
            flows.push_back(flow);
    }
    for (const FlowId flow : flows)
        removeRedirect(redirects, flow);
    return flows.size();
}

std::size_t expireRedirects(Redirects& redirects, const RedirectOptions& options, Millis now)
{
    std::size_t expired = 0;
    while (expired < expiredPerCall && !redirects.order.empty()) {
        const auto oldest = redirects.entries.find(redirects.order.begin()->second);
        if (now - oldest->second.recordedAt <= options.retention)
            break;
        removeEntry(redirects, oldest);
        ++expired;
    }
    return expired;
}

}
