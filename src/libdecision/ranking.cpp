#include "ranking.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <xxhash.h>

namespace kingcuptrail {

namespace {

    bool acceptsPackets(const Member& member)
    {
        return member.linked && member.state != MemberState::Out;
    }

}

std::uint64_t rankWeight(FlowId flow, UpstreamId upstream)
{
    const std::array<std::uint64_t, 2> words { flow, upstream };
    return XXH3_64bits(words.data(), sizeof(words));
}

std::vector<std::size_t> rankMembers(FlowId flow, std::span<const Member> members)
{
    std::vector<std::uint64_t> weights;
    weights.reserve(members.size());
    for (const Member& member : members)
        weights.push_back(rankWeight(flow, member.token.upstream));
    std::vector<std::size_t> order(members.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return weights[left] > weights[right];
    });
    return order;
}

std::optional<std::size_t> nextInRanking(FlowId flow, std::span<const Member> members, std::span<const UpstreamId> visited)
{
    std::optional<std::size_t> best;
    std::uint64_t bestWeight = 0;
    for (std::size_t index = 0; index < members.size(); ++index) {
        const Member& member = members[index];
        if (!acceptsPackets(member) || std::find(visited.begin(), visited.end(), member.token.upstream) != visited.end())
            continue;
        const std::uint64_t weight = rankWeight(flow, member.token.upstream);
        if (!best || weight > bestWeight) {
            best = index;
            bestWeight = weight;
        }
    }
    return best;
}

}
