#include "flowendpoint.h"

#include <algorithm>
#include <cmath>

namespace kingcuptrail {

namespace {

    /// Weights of a new sample in the smoothed round-trip time and its deviation, and the deviation's factor in the
    /// retransmission timeout, as in TCP (RFC 6298).
    constexpr float roundTripGain = 0.125F;
    constexpr float deviationGain = 0.25F;
    constexpr float deviationFactor = 4;
    constexpr Millis initialRetransmitTimeout = 150;
    constexpr std::uint32_t maxBackoffSteps = 5;

}

FlowEndpoint::FlowEndpoint(const FlowEndpointOptions& options)
    : m_options(options)
{
}

bool FlowEndpoint::send(Bytes payload)
{
    if (!canSend())
        return false;
    m_outgoing[++m_lastQueued] = { .payload = std::make_shared<const Bytes>(std::move(payload)) };
    return true;
}

std::vector<FlowEndpoint::Segment> FlowEndpoint::collectOutgoing(Millis now)
{
    std::vector<Segment> due;
    std::size_t position = 0;
    for (auto& [sequence, outgoing] : m_outgoing) {
        if (++position > m_options.windowSegments)
            break;
        const bool isFirst = outgoing.sentAt < 0;
        if (!isFirst && now - outgoing.sentAt < retransmitTimeout(outgoing.sends))
            continue;
        if (!isFirst)
            ++m_resent;
        outgoing.sentAt = now;
        ++outgoing.sends;
        due.push_back({ sequence, outgoing.payload });
    }
    return due;
}

std::optional<Millis> FlowEndpoint::nextDueTime() const
{
    std::optional<Millis> next;
    std::size_t position = 0;
    for (const auto& [sequence, outgoing] : m_outgoing) {
        if (++position > m_options.windowSegments)
            break;
        const Millis due = outgoing.sentAt < 0 ? 0 : outgoing.sentAt + retransmitTimeout(outgoing.sends);
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

void FlowEndpoint::receive(std::uint32_t sequence, Bytes payload)
{
    // A sequence number outside the window is a duplicate or forged; either way it must not use memory.
    if (sequence <= m_receivedUpTo || sequence > m_deliveredUpTo + m_options.receiveSegments)
        return;
    m_received.emplace(sequence, std::move(payload));
    while (m_received.contains(m_receivedUpTo + 1))
        ++m_receivedUpTo;
}

void FlowEndpoint::acknowledge(std::uint32_t upTo, Millis now)
{
    while (!m_outgoing.empty() && m_outgoing.begin()->first <= upTo) {
        const Outgoing& outgoing = m_outgoing.begin()->second;
        // An acknowledgement of segments that were never sent is invalid.
        if (outgoing.sentAt < 0)
            return;
        // A retransmitted segment gives no round-trip sample, since it is unknown which copy was acknowledged.
        if (outgoing.sends == 1)
            recordRoundTrip(now - outgoing.sentAt);
        m_outgoing.erase(m_outgoing.begin());
    }
}

std::optional<Bytes> FlowEndpoint::dequeuePayload()
{
    const auto first = m_received.begin();
    if (first == m_received.end() || first->first != m_deliveredUpTo + 1)
        return std::nullopt;
    Bytes payload = std::move(first->second);
    m_received.erase(first);
    ++m_deliveredUpTo;
    return payload;
}

Millis FlowEndpoint::retransmitTimeout(std::uint32_t sends) const
{
    const Millis measured = m_roundTrip > 0
        ? static_cast<Millis>(std::ceil(m_roundTrip + deviationFactor * m_roundTripDeviation))
        : initialRetransmitTimeout;
    const std::uint32_t steps = std::min(sends > 0 ? sends - 1 : 0, maxBackoffSteps);
    return std::clamp(std::max(measured, m_options.minRetransmitTimeout) << steps, m_options.minRetransmitTimeout, m_options.maxRetransmitTimeout);
}

void FlowEndpoint::recordRoundTrip(Millis roundTrip)
{
    const float sample = std::max<float>(1, static_cast<float>(roundTrip));
    if (m_roundTrip == 0) {
        m_roundTrip = sample;
        m_roundTripDeviation = sample / 2;
        return;
    }
    m_roundTripDeviation += deviationGain * (std::abs(sample - m_roundTrip) - m_roundTripDeviation);
    m_roundTrip += roundTripGain * (sample - m_roundTrip);
}

}
