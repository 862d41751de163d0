#include "bulkgate.h"

#include "libruntime/events.h"

#include <utility>

namespace kingcuptrail {

namespace {

    /// A tick that comes this long after the previous one shows that the process has not handled packets for a while, in
    /// milliseconds: half of the time after which callers send the first copy of an opening, through any balancer.
    constexpr Millis maxTickGap = 100;

    std::uint64_t toKilobits(double megabits)
    {
        constexpr double kilobitsPerMegabit = 1000;
        return static_cast<std::uint64_t>(megabits * kilobitsPerMegabit);
    }

}

BulkGate::BulkGate(BalancerState& state)
    : m_state(state)
{
}

// After a pause of this process the socket holds packets of the whole pause, whose rate is not that of the link.
bool BulkGate::recordPacket(const FlowKey& flow, const PacketHeader& header, std::size_t bytes)
{
    if (!isLimiting(m_state.bulk) || m_state.network.mayBeStale())
        return false;
    // A caller that sends anything else than its opening has left, or another balancer has opened its flow. A reset would then
    // end an open flow.
    if (!m_held.empty() && !isOpening(header) && m_held.erase(flow) > 0)
        removeWaiting(m_state.bulk, flow);
    const std::size_t active = m_state.bulk.active.size();
    recordCallerPacket(m_state.bulk, flow, header, bytes, m_state.role.clock.now());
    return !m_held.empty() && m_state.bulk.active.size() < active;
}

bool BulkGate::admits(const FlowKey& flow, Millis startedAt, std::span<const std::uint8_t> packet)
{
    if (!isLimiting(m_state.bulk) || m_state.network.routes().version == 0)
        return true;
    switch (decideBulkOpening(m_state.bulk, m_state.network.routes(), flow, m_state.role.clock.now())) {
    case BulkDecision::Admit:
        return true;
    case BulkDecision::Wait:
        hold(flow, startedAt, packet);
        return false;
    case BulkDecision::Refuse:
        refuse(flow, m_state.bulk.lastInputs, 0);
        return false;
    }
    return true;
}

void BulkGate::hold(const FlowKey& flow, Millis startedAt, std::span<const std::uint8_t> packet)
{
    m_state.packetOutcomes.increment(CallerPacketOutcome::Waiting);
    const auto [found, isNew] = m_held.try_emplace(flow);
    HeldOpening& held = found->second;
    held.packet = copyPacket(packet);
    if (!isNew)
        return;
    held.flow = flow;
    held.arrivedAt = m_state.role.clock.now();
    held.startedAt = startedAt;
    const BulkInputs& inputs = m_state.bulk.lastInputs;
    logFlowEvent(Event::BulkOpeningHeld, flow, { { "active", inputs.active }, { "limit", inputs.limit }, { "received", toKilobits(inputs.receivedMegabits) }, { "link", toKilobits(m_state.bulk.options.linkMegabits) }, { "waiting", inputs.waiting }, { "expectedWait", static_cast<std::uint64_t>(inputs.expectedWait) }, { "maxWait", static_cast<std::uint64_t>(inputs.maxWait) } });
}

// `waited` is the time since the opening was held; 0 when it is refused at once.
void BulkGate::refuse(const FlowKey& flow, const BulkInputs& inputs, Millis waited)
{
    logFlowEvent(Event::FlowRefused, flow, { { "reason", nameOf(ResetReason::LinkFull) }, { "active", inputs.active }, { "limit", inputs.limit }, { "received", toKilobits(inputs.receivedMegabits) }, { "link", toKilobits(m_state.bulk.options.linkMegabits) }, { "waiting", inputs.waiting }, { "expectedWait", static_cast<std::uint64_t>(inputs.expectedWait) }, { "maxWait", static_cast<std::uint64_t>(inputs.maxWait) }, { "waited", static_cast<std::uint64_t>(waited) }, { "version", m_state.network.routes().version } });
    sendReset(m_state, flow, 0, ResetReason::LinkFull);
}

std::vector<HeldOpening> BulkGate::takeAdmitted(Millis now)
{
    std::vector<HeldOpening> admitted;
    if (m_held.empty() || m_state.network.mayBeStale())
        return admitted;
    for (const FlowKey& flow : kingcuptrail::takeAdmitted(m_state.bulk, m_state.network.routes(), now)) {
        auto held = m_held.extract(flow);
        if (held.empty())
            continue;
        m_waits.record(static_cast<double>(now - held.mapped().arrivedAt));
        admitted.push_back(std::move(held.mapped()));
    }
    return admitted;
}

void BulkGate::discardAfterGap(Millis now)
{
    const Millis gap = now - std::exchange(m_lastTickAt, now);
    if (!m_held.empty() && (gap > maxTickGap || m_state.network.mayBeStale()))
        discardHeld();
}

void BulkGate::refuseExpired(Millis now)
{
    if (!isLimiting(m_state.bulk))
        return;
    updateActivity(m_state.bulk, now);
    for (const FlowKey& flow : takeExpired(m_state.bulk, now)) {
        const auto held = m_held.extract(flow);
        const Millis waited = held.empty() ? 0 : now - held.mapped().arrivedAt;
        m_waits.record(static_cast<double>(waited));
        refuse(flow, bulkInputs(m_state.bulk, m_state.network.routes(), flow, now), waited);
    }
}

// While the process was paused, copies may have arrived through other balancers. A reset would end a flow that is open by now.
void BulkGate::discardHeld()
{
    m_held.clear();
    m_state.bulk.waiting.clear();
}

void BulkGate::exposeMetrics(std::string& out) const
{
    if (!isLimiting(m_state.bulk))
        return;
    exposeGauge(out, "kingcuptrail_active_bulk_flows", "Large uploads that are active on this host's link.", static_cast<double>(m_state.bulk.active.size()));
    exposeGauge(out, "kingcuptrail_waiting_bulk_openings", "Openings that wait for room on this host's link.", static_cast<double>(m_held.size()));
    exposeGauge(out, "kingcuptrail_link_use", "Rate of callers' packets over 200 ms as a fraction of packets.linkMegabits.", linkUse(m_state.bulk, m_state.role.clock.now()));
    m_waits.expose(out, "kingcuptrail_bulk_opening_wait_milliseconds", "How long openings waited for room on this host's link, in milliseconds.");
}

}
