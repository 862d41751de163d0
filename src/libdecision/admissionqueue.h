#pragma once

#include "openingschedule.h"
#include "packet.h"

#include <optional>
#include <vector>

namespace kingcuptrail {

/// An opening packet that waits at its agent for room at the upstream.
struct WaitingOpening {
    FlowKey flow;
    /// When its caller began to open the flow, as far as the copy that came here tells.
    Millis startedAt = 0;
    Millis arrivedAt = 0;
    /// When the last copy of it came: its caller was still there.
    Millis seenAt = 0;
    /// Until when an answer is likely to be within the route's latency target if the opening is admitted by then.
    Millis timelyUntil = 0;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::uint32_t balancer = 0;
    std::vector<std::uint8_t> packet;
};

struct AdmissionQueueOptions {
    /// Openings that may wait for each slot of the upstream. Bounds the agent's memory; the order of admission keeps timely
    /// openings from waiting behind the others.
    std::uint32_t waitingPerSlot = 20;
    /// How long after its caller began an opening may wait, in milliseconds.
    Millis longestWait = longestOpeningWait();
};

/// Openings that wait at one agent.
/// Load: everybody returns at once after an outage, several seconds' worth of work within a tenth of a second. Harm: worked
/// off in the order of arrival, each waits behind the whole backlog and every answer is late; refused at once, callers use
/// up their retries before the backlog is gone. Here the newest that can still be in time go first, and the others fill the
/// slots that are idle.
struct AdmissionQueue {
    AdmissionQueueOptions options;
    std::vector<WaitingOpening> waiting;
};

/// Notes a copy of an opening packet; whether that opening waits here.
bool takeCopy(AdmissionQueue&, const FlowKey&, Millis now);

/// Whether an answer is likely to be within the latency target when the opening is admitted now.
bool isTimely(const WaitingOpening&, Millis now);

/// Openings that wait and can still be answered in time.
std::uint32_t countTimely(const AdmissionQueue&, Millis now);

/// Lets an opening wait; false when the queue is full.
bool enqueue(AdmissionQueue&, WaitingOpening opening, std::uint32_t slots);

/// The opening to admit next: of those that can still be in time the most urgent, and of these the newest; without any, the
/// one that was last heard of. Callers leave without a word when their deadline passes: taken from the oldest on, most
/// places at the upstream would be kept for callers that have left.
std::optional<WaitingOpening> takeNext(AdmissionQueue&, Millis now);

/// The opening that takeNext() would take; nothing when none waits. Valid until the queue changes.
const WaitingOpening* peekNext(const AdmissionQueue&, Millis now);

/// Takes out the openings that have waited too long.
std::vector<WaitingOpening> takeExpired(AdmissionQueue&, Millis now);

}
