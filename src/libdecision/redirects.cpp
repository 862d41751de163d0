#include "redirects.h"

#include <vector>

namespace kingcuptrail {

namespace {

    /// The maximum number of entries removed in one call, so that packets are not delayed.
    constexpr std::size_t expiredPerCall = 256;

    void forgetEntry(Redirects& redirects, std::unordered_map<FlowId, RedirectEntry>::iterator entry)
    {
        redirects.order.erase(entry->second.order);
        redirects.entries.erase(entry);
    }

    void forgetOldest(Redirects& redirects)
    {
        forgetEntry(redirects, redirects.entries.find(redirects.order.begin()->second));
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
void noteRedirect(Redirects& redirects, const RedirectOptions& options, FlowId flow, const OwnerToken& owner, Millis now)
{
    const auto found = redirects.entries.find(flow);
    if (found != redirects.entries.end()) {
        if (isOlder(owner, found->second.owner))
            return;
        forgetEntry(redirects, found);
    }
    if (options.maxEntries == 0)
        return;
    while (redirects.entries.size() >= options.maxEntries)
        forgetOldest(redirects);
    const std::uint64_t order = ++redirects.lastOrder;
    redirects.entries.emplace(flow, RedirectEntry { .owner = owner, .order = order, .notedAt = now });
    redirects.order.emplace(order, flow);
}

std::optional<OwnerToken> findRedirect(const Redirects& redirects, const RedirectOptions& options, FlowId flow, Millis now)
{
    const auto found = redirects.entries.find(flow);
    if (found == redirects.entries.end() || now - found->second.notedAt > options.keepFor)
        return std::nullopt;
    return found->second.owner;
}

void forgetFlow(Redirects& redirects, FlowId flow)
{
    const auto found = redirects.entries.find(flow);
    if (found != redirects.entries.end())
        forgetEntry(redirects, found);
}

std::size_t forgetOwner(Redirects& redirects, const OwnerToken& owner)
{
    std::vector<FlowId> flows;
    for (const auto& [flow, entry] : redirects.entries) {
        if (entry.owner == owner)
            flows.push_back(flow);
    }
    for (const FlowId flow : flows)
        forgetFlow(redirects, flow);
    return flows.size();
}

std::size_t expireRedirects(Redirects& redirects, const RedirectOptions& options, Millis now)
{
    std::size_t expired = 0;
    while (expired < expiredPerCall && !redirects.order.empty()) {
        const auto oldest = redirects.entries.find(redirects.order.begin()->second);
        if (now - oldest->second.notedAt <= options.keepFor)
            break;
        forgetEntry(redirects, oldest);
        ++expired;
    }
    return expired;
}

}
