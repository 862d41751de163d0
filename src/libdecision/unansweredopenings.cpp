#include "unansweredopenings.h"

#include <utility>

namespace kingcuptrail {

void keepOpening(UnansweredOpenings& kept, const UnansweredOpening& opening)
{
    if (const auto found = kept.openings.find(opening.flow); found != kept.openings.end()) {
        found->second.balancer = opening.balancer;
        return;
    }
    if (kept.openings.size() < kept.options.limit)
        kept.openings.emplace(opening.flow, opening);
}

void discardOpening(UnansweredOpenings& kept, const FlowKey& flow)
{
    kept.openings.erase(flow);
}

void discardOldOpenings(UnansweredOpenings& kept, Millis now)
{
    std::erase_if(kept.openings, [&](const auto& item) { return now - item.second.deliveredAt > kept.options.ageLimit; });
}

std::vector<UnansweredOpening> takeUnanswered(UnansweredOpenings& kept, Millis now)
{
    discardOldOpenings(kept, now);
    std::vector<UnansweredOpening> taken;
    taken.reserve(kept.openings.size());
    for (auto& [flow, opening] : kept.openings)
        taken.push_back(std::move(opening));
    kept.openings.clear();
    return taken;
}

}
