#include "placing.h"

#include "ranking.h"

namespace kingcuptrail {

namespace {

    struct Choice {
        std::optional<std::size_t> index;
        std::uint64_t weight = 0;
    };

    bool mayGetFlows(const Member& member)
    {
        return member.linked && member.state == MemberState::Serving;
    }

}

// Load: thousands of new flows a second over a few members, each balancer with load news about a second old.
// Harm: one choice leaves the fullest member well above the mean at few flows a target; following the least loaded
// of all members sends every balancer's flows to the same one until the next news (herding).
// Limit: two choices, since the second removes most of the imbalance and a third would spread one flow's possible
// holders over more members, each a hop when news is uneven.
std::optional<Placement> placeFlow(FlowId flow, std::span<const Member> members, const PlaceOptions& options)
{
    Choice first;
    Choice second;
    for (std::size_t index = 0; index < members.size(); ++index) {
        if (!mayGetFlows(members[index]))
            continue;
        const std::uint64_t weight = rankWeight(flow, members[index].token.upstream);
        if (!first.index || weight > first.weight) {
            second = first;
            first = { index, weight };
        } else if (!second.index || weight > second.weight) {
            second = { index, weight };
        }
    }
    if (!first.index)
        return std::nullopt;
    if (options.secondChoice && second.index && members[*first.index].load > members[*second.index].load + options.secondChoiceMargin)
        return Placement { .member = *second.index, .passedOver = first.index };
    return Placement { .member = *first.index, .passedOver = std::nullopt };
}

}
