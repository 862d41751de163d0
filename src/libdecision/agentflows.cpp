#include "agentflows.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// The table is swept in this many calls; with one call every 100 ms a full sweep takes 3.2 s.
    constexpr std::size_t sweepParts = 32;

    /// How far a caller's first acknowledgement may be beyond the upstream's answer. The answer takes one sequence number,
    /// and the first packet that arrives may already acknowledge several full packets (16 in flight of 1,200 bytes).
    constexpr std::uint32_t maxFirstAcknowledgement = 16 * 1200 + 1;

    void clearWork(AgentFlows& table, AgentFlow& flow)
    {
        if (flow.workUntil == 0)
            return;
        flow.workUntil = 0;
        --table.atWork;
    }

    /// An expiry is extended only by at least this much, in milliseconds, so that a long upload does not add an entry for
    /// each of its packets.
    constexpr Millis minWorkExtension = 300;

    void countWork(AgentFlows& table, const FlowKey& key, AgentFlow& flow, Millis until)
    {
        if (flow.workUntil != 0 && until - flow.workUntil < minWorkExtension)
            return;
        if (flow.workUntil == 0)
            ++table.atWork;
        flow.workUntil = until;
        table.workExpiries.push_back({ .at = until, .flow = key });
    }

    void setPhase(AgentFlows& table, AgentFlow& flow, FlowPhase phase)
    {
        if (flow.phase == phase)
            return;
        table.open += phase == FlowPhase::Open ? 1 : 0;
        table.open -= flow.phase == FlowPhase::Open ? 1 : 0;
        flow.phase = phase;
        if (phase == FlowPhase::Closed)
            clearWork(table, flow);
    }

    /// A copy of the opening packet may have been admitted at two upstreams. Only the one whose answer the caller
    /// acknowledges owns the flow; the other one would return every packet.
    bool acknowledgesAnswerOf(const AgentFlow& flow, std::uint32_t acknowledged)
    {
        if (!flow.answerSequence)
            return false;
        return acknowledged - *flow.answerSequence <= maxFirstAcknowledgement;
    }

    /// How far a caller's acknowledgement may be from its last one: the window in which callers take resets. An upstream never has
    /// as much in flight.
    constexpr std::uint32_t acknowledgementWindow = 76800;

    /// Whether a packet with this acknowledgement can be of this flow. Callers use their ports again, and a packet of the former flow may
    /// have waited anywhere; the upstream would return it, which must not end the flow that is open now. A flow that was learnt
    /// has no answer to compare with, and 0 stands for a packet that acknowledges nothing.
    bool mayBelongTo(const AgentFlow& flow, std::uint32_t acknowledged)
    {
        if (flow.phase != FlowPhase::Open || !flow.answerSequence || acknowledged == 0)
            return true;
        const std::uint32_t distance = acknowledged - flow.callerAcknowledged + acknowledgementWindow;
        return distance <= 2 * acknowledgementWindow || acknowledgesAnswerOf(flow, acknowledged);
    }

    /// Records that the caller has sent up to `end`. Returns whether that is new data. Sequence numbers wrap around.
    bool advanceCallerSentEnd(AgentFlow& flow, std::uint32_t end)
    {
        if (flow.callerSentEnd && static_cast<std::int32_t>(end - *flow.callerSentEnd) <= 0)
            return false;
        flow.callerSentEnd = end;
        return true;
    }

    /// The beginning of a request whose first data packet arrives now. Callers that open a flow for one request send it with
    /// the packet that completes the opening; on a flow that was opened in advance the pause before is not the upstream's.
    Millis requestBegin(const AgentFlow& flow, const AgentFlowOptions& options, Millis now)
    {
        const bool followsOpening = !flow.hasAnswer && now - flow.openedAt <= options.openingWorkTime;
        return followsOpening ? flow.openedAt : now;
    }

    bool hasExpired(const AgentFlow& flow, const AgentFlows& table, Millis now)
    {
        const Millis silence = now - flow.lastPacketAt;
        switch (flow.phase) {
        case FlowPhase::Opening:
            return silence > table.options.openingLimit;
        case FlowPhase::Open:
            return now > idleDeadline(table.idleLimits, flow.lastPacketAt);
        case FlowPhase::Closed:
            break;
        }
        return silence > table.options.closedLimit;
    }

    void removeFromCounts(AgentFlows& table, AgentFlow& flow)
    {
        setPhase(table, flow, FlowPhase::Closed);
    }

    bool hasAllFlows(const AgentFlows& table, Millis now)
    {
        const bool hasSeenAll = table.isComplete || now >= table.completeAt;
        const bool mayMissRemoved = table.lastRemovedPacketAt && now <= idleDeadline(table.idleLimits, *table.lastRemovedPacketAt);
        return hasSeenAll && !mayMissRemoved;
    }

    /// Removes a flow that the upstream may still hold.
    void removeIdleFlow(AgentFlows& table, const FlowKey& key)
    {
        const AgentFlow& flow = table.flows.at(key);
        if (flow.phase == FlowPhase::Open)
            table.lastRemovedPacketAt = std::max(table.lastRemovedPacketAt.value_or(flow.lastPacketAt), flow.lastPacketAt);
        forgetFlow(table, key);
    }

    std::size_t removeExcessFlows(AgentFlows& table)
    {
        if (table.flows.size() <= table.options.maxFlows)
            return 0;
        // Some room is made at once, so that not every call has to look at all flows.
        const std::size_t count = table.flows.size() - table.options.maxFlows + table.options.maxFlows / 8;
        const std::vector<FlowKey> excess = longestIdle(table.flows, count, [](const AgentFlow& flow) { return flow.lastPacketAt; });
        for (const FlowKey& key : excess)
            removeIdleFlow(table, key);
        return excess.size();
    }

}

void beginFlow(AgentFlows& table, const FlowKey& key, Millis now, std::uint32_t balancer)
{
    const auto [found, isNew] = table.flows.try_emplace(key);
    AgentFlow& flow = found->second;
    // The same pair of endpoints may be reused once the old flow is closed.
    if (isNew || flow.phase == FlowPhase::Closed) {
        flow = {};
        flow.openedAt = now;
        countWork(table, key, flow, now + table.options.openingWorkTime);
    }
    flow.lastPacketAt = now;
    flow.balancer = balancer;
}

CallerPacketAction trackCallerPacket(AgentFlows& table, const FlowKey& key, const PacketHeader& header, Millis now, std::uint32_t balancer)
{
    const auto found = table.flows.find(key);
    if (found == table.flows.end())
        return hasAllFlows(table, now) ? CallerPacketAction::NotHeld : CallerPacketAction::DeliverToLearn;
    AgentFlow& flow = found->second;
    if (flow.phase == FlowPhase::Opening) {
        if (!header.flags.resets && !acknowledgesAnswerOf(flow, header.acknowledged))
            return CallerPacketAction::NotHeld;
        setPhase(table, flow, FlowPhase::Open);
        flow.isConfirmed = !header.flags.resets;
    }
    if (header.flags.acknowledges && !header.flags.resets && !mayBelongTo(flow, header.acknowledged))
        return CallerPacketAction::NotHeld;
    flow.lastPacketAt = now;
    flow.balancer = balancer;
    if (header.flags.acknowledges)
        flow.callerAcknowledged = header.acknowledged;
    const bool isNewData = advanceCallerSentEnd(flow, header.sequence + header.dataLength) && header.dataLength > 0;
    if (isNewData && !flow.hasRequest) {
        ++table.requests;
        flow.hasRequest = true;
        flow.requestSince = requestBegin(flow, table.options, now);
    }
    if (isNewData && flow.phase == FlowPhase::Open)
        countWork(table, key, flow, now + table.options.requestWorkTime);
    flow.callerEnded = flow.callerEnded || header.flags.ends;
    if (header.flags.resets || (flow.callerEnded && flow.upstreamEnded))
        setPhase(table, flow, FlowPhase::Closed);
    return CallerPacketAction::Deliver;
}

void keepCallerPacket(AgentFlows& table, const FlowKey& key, const PacketHeader& header, std::span<const std::uint8_t> packet)
{
    const auto found = table.flows.find(key);
    if (found == table.flows.end() || found->second.phase != FlowPhase::Open || header.flags.resets)
        return;
    std::vector<std::uint8_t>& kept = found->second.callerPacket;
    if (kept.empty() || packet.size() < kept.size())
        kept.assign(packet.begin(), packet.end());
}

std::optional<HolderAnswer> answerToProbe(CallerPacketAction action)
{
    switch (action) {
    case CallerPacketAction::Deliver:
        return HolderAnswer::Held;
    case CallerPacketAction::NotHeld:
        return HolderAnswer::NotHeld;
    case CallerPacketAction::DeliverToLearn:
        break;
    }
    return std::nullopt;
}

bool showsSameProcess(const AgentFlows& table, const FlowKey& key, const PacketHeader& header)
{
    const auto found = table.flows.find(key);
    return found != table.flows.end() && found->second.phase != FlowPhase::Opening && !header.flags.opens && !header.flags.resets;
}

UpstreamPacketEffect trackUpstreamPacket(AgentFlows& table, const FlowKey& key, const PacketHeader& header, Millis now)
{
    UpstreamPacketEffect effect { .isAnswer = header.flags.opens && header.flags.acknowledges };
    auto found = table.flows.find(key);
    if (found == table.flows.end()) {
        // A reset of an unknown flow means that the upstream does not hold it.
        if (header.flags.resets)
            return effect;
        found = table.flows.try_emplace(key).first;
        found->second.openedAt = now;
        effect.isLearnt = !effect.isAnswer;
    }
    AgentFlow& flow = found->second;
    flow.lastPacketAt = now;
    flow.upstreamPacketAt = now;
    flow.isConfirmed = flow.isConfirmed || (!effect.isAnswer && !header.flags.resets);
    if (effect.isAnswer) {
        // Another answer opens another flow between the same ports.
        if (flow.answerSequence && flow.answerSequence != header.sequence)
            flow.openedAt = now;
        flow.answerSequence = header.sequence;
    } else if (flow.phase == FlowPhase::Opening)
        setPhase(table, flow, FlowPhase::Open);
    if (header.flags.acknowledges)
        advanceCallerSentEnd(flow, header.acknowledged);
    if (effect.isLearnt)
        flow.callerAcknowledged = header.sequence;
    effect.isRequestAnswered = flow.hasRequest && header.dataLength > 0;
    effect.isRequestAborted = flow.hasRequest && header.flags.resets;
    if (effect.isRequestAnswered)
        effect.answerTime = now - flow.requestSince;
    if (header.dataLength > 0) {
        flow.hasRequest = false;
        flow.hasAnswer = true;
        clearWork(table, flow);
    }
    flow.upstreamEnded = flow.upstreamEnded || header.flags.ends;
    if (header.flags.resets || (flow.callerEnded && flow.upstreamEnded))
        setPhase(table, flow, FlowPhase::Closed);
    return effect;
}

void learnFlow(AgentFlows& table, const FlowKey& key, std::uint32_t callerAcknowledged, Millis now)
{
    const auto [found, isNew] = table.flows.try_emplace(key);
    if (!isNew)
        return;
    AgentFlow& flow = found->second;
    flow.openedAt = now;
    flow.lastPacketAt = now;
    flow.callerAcknowledged = callerAcknowledged;
    setPhase(table, flow, FlowPhase::Open);
}

bool forgetFlow(AgentFlows& table, const FlowKey& key)
{
    const auto found = table.flows.find(key);
    if (found == table.flows.end())
        return false;
    removeFromCounts(table, found->second);
    table.flows.erase(found);
    return true;
}

LostFlow toLostFlow(const FlowKey& key, const AgentFlow& flow)
{
    return { .flow = key, .callerAcknowledged = flow.callerAcknowledged, .openedAt = flow.openedAt, .lastPacketAt = flow.lastPacketAt, .upstreamPacketAt = flow.upstreamPacketAt };
}

std::vector<LostFlow> extractLostFlows(AgentFlows& table)
{
    std::vector<LostFlow> lost;
    for (const auto& [key, flow] : table.flows) {
        if (flow.phase == FlowPhase::Open && flow.isConfirmed)
            lost.push_back(toLostFlow(key, flow));
    }
    table.flows.clear();
    table.atWork = 0;
    table.open = 0;
    table.workExpiries.clear();
    table.isComplete = true;
    table.lastRemovedPacketAt.reset();
    return lost;
}

void expireWork(AgentFlows& table, Millis now)
{
    // The queue holds entries of two durations, so an entry may stand behind one that expires later. The queue is short, so
    // each call checks all of it.
    const auto isDue = [now](const WorkExpiry& expiry) { return expiry.at <= now; };
    for (const WorkExpiry& expiry : table.workExpiries) {
        const auto found = isDue(expiry) ? table.flows.find(expiry.flow) : table.flows.end();
        if (found != table.flows.end() && found->second.workUntil != 0 && found->second.workUntil <= now)
            clearWork(table, found->second);
    }
    std::erase_if(table.workExpiries, isDue);
}

void updateIdleLimits(AgentFlows& table, const IdleLimits& limits, Millis startedAt)
{
    table.idleLimits = limits;
    table.completeAt = allIdleAt(limits, startedAt);
}

std::size_t sweepFlows(AgentFlows& table, Millis now)
{
    const std::size_t buckets = table.flows.bucket_count();
    const std::size_t part = buckets / sweepParts + 1;
    std::vector<FlowKey> expired;
    for (std::size_t index = 0; index < part; ++index) {
        const std::size_t bucket = (table.sweepBucket + index) % buckets;
        for (auto entry = table.flows.begin(bucket); entry != table.flows.end(bucket); ++entry) {
            if (hasExpired(entry->second, table, now))
                expired.push_back(entry->first);
        }
    }
    table.sweepBucket = (table.sweepBucket + part) % buckets;
    for (const FlowKey& key : expired)
        removeIdleFlow(table, key);
    return removeExcessFlows(table);
}

HolderAnswer answerHolderQuery(const AgentFlows& table, const FlowKey& key, std::uint32_t acknowledged, Millis now)
{
    const auto found = table.flows.find(key);
    if (found == table.flows.end())
        return hasAllFlows(table, now) ? HolderAnswer::NotHeld : HolderAnswer::Unsure;
    const AgentFlow& flow = found->second;
    const bool isHeld = flow.phase == FlowPhase::Opening ? acknowledgesAnswerOf(flow, acknowledged) : mayBelongTo(flow, acknowledged);
    return isHeld ? HolderAnswer::Held : HolderAnswer::NotHeld;
}

}
