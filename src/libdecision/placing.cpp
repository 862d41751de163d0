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
// holders over more members, each a hop when news is uneven. Only with news at most 3 s apart: in the model at 2,000
// flows a target, the fullest was 1.01 times the mean with news every 1 to 3 s, 1.02 every 5 s, 1.10 every 20 s and 1.32
// every 90 s, since all balancers follow the same old figure; the first choice alone keeps 1.02 to 1.03.
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
    const bool isNewsFresh = options.newsInterval <= options.longestNewsInterval;
    if (options.secondChoice && isNewsFresh && second.index && members[*first.index].load > members[*second.index].load + options.secondChoiceMargin)
        return Placement { .member = *second.index, .passedOver = first.index };
    return Placement { .member = *first.index, .passedOver = std::nullopt };
}

}
