#include "flowverification.h"

namespace kingcuptrail {

namespace {

    bool isUndecided(const FlowVerification& verification, const AgentFlows& table, const FlowKey& key)
    {
        const auto found = table.flows.find(key);
        if (found == table.flows.end() || found->second.phase != FlowPhase::Open)
            return false;
        return found->second.upstreamPacketAt <= verification.begunAt;
    }

}

std::size_t beginVerification(FlowVerification& verification, const AgentFlows& table, Millis now)
{
    verification.begunAt = now;
    verification.flows.clear();
    for (const auto& [key, flow] : table.flows) {
        if (flow.phase == FlowPhase::Open && !flow.callerPacket.empty())
            verification.flows.emplace(key, UnverifiedFlow { .nextCopyAt = now });
    }
    return verification.flows.size();
}

std::vector<FlowKey> takeDueCopies(FlowVerification& verification, const AgentFlows& table, Millis now)
{
    std::erase_if(verification.flows, [&](const auto& item) {
        const bool isExhausted = item.second.copiesSent == verification.options.copies && now >= item.second.nextCopyAt;
        return isExhausted || !isUndecided(verification, table, item.first);
    });
    std::vector<FlowKey> due;
    for (auto& [key, flow] : verification.flows) {
        if (due.size() == verification.options.copiesPerStep)
            break;
        if (flow.copiesSent == verification.options.copies || now < flow.nextCopyAt)
            continue;
        ++flow.copiesSent;
        flow.nextCopyAt = now + verification.options.interval;
        due.push_back(key);
    }
    return due;
}

std::optional<LostFlow> recordReturned(FlowVerification& verification, AgentFlows& table, const FlowKey& key)
{
    const bool wasVerified = verification.flows.erase(key) > 0;
    const auto found = table.flows.find(key);
    std::optional<LostFlow> lost;
    if (wasVerified && found != table.flows.end() && found->second.phase == FlowPhase::Open && found->second.isConfirmed)
        lost = toLostFlow(key, found->second);
    forgetFlow(table, key);
    return lost;
}

}
