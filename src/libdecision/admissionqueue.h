#pragma once

#include "openingschedule.h"
#include "packet.h"

#include <optional>
#include <string>
#include <vector>

namespace kingcuptrail {

/// An opening packet that waits at an agent until its upstream has capacity.
struct WaitingOpening {
    FlowKey flow;
    /// When the caller sent the first copy of the packet, estimated from the copy number of the one that arrived.
    Millis startedAt = 0;
    Millis arrivedAt = 0;
    /// When the latest copy arrived, which shows that the caller was still waiting.
    Millis seenAt = 0;
    /// If the opening is admitted by this time, the answer is likely to meet the route's latency target (timelyWait()).
    Millis timelyUntil = 0;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::uint32_t balancer = 0;
    /// The service that the opening is for; empty if the balancer is of an earlier release.
    std::string service;
    std::vector<std::uint8_t> packet;
};

struct AdmissionQueueOptions {
    /// Openings that may wait for each slot of the upstream. This bounds the agent's memory. Openings past their latency
    /// target don't delay the others, since they are admitted last.
    std::uint32_t waitingPerSlot = 20;
    /// How long an opening may wait, in milliseconds since its caller sent it first.
    Millis maxWait = maxOpeningWait();
};

/// Openings that wait at one agent. After an outage all callers return within a tenth of a second and bring several
/// seconds' worth of work. Served in order of arrival, every opening would wait behind the whole backlog and every answer
/// would be late. Refused at once, callers would use up their retries before the backlog is gone. So the newest openings
/// that can still be answered in time are admitted first, and the others fill slots that would otherwise be idle.
struct AdmissionQueue {
    AdmissionQueueOptions options;
    std::vector<WaitingOpening> waiting;
};

/// Records that a copy of an opening packet arrived. Returns whether that opening waits here.
bool recordCopy(AdmissionQueue&, const FlowKey&, Millis now);

/// Whether the answer is likely to meet the latency target if the opening is admitted now.
bool isTimely(const WaitingOpening&, Millis now);

/// Number of waiting openings that can still be answered in time.
std::uint32_t countTimely(const AdmissionQueue&, Millis now);

/// Adds an opening to the queue; returns false when the queue is full.
bool enqueue(AdmissionQueue&, WaitingOpening opening, std::uint32_t slots);

/// Removes and returns the opening to admit next: among those that can still be answered in time the most urgent, and the
/// newest of these; if there is none, the one whose caller sent a copy most recently. Callers give up at their deadline
/// without sending anything, so admitting the oldest first would spend most slots on callers that have left.
std::optional<WaitingOpening> popNext(AdmissionQueue&, Millis now);

/// The opening that popNext() would return, or nullptr when the queue is empty. Valid until the queue changes.
const WaitingOpening* peekNext(const AdmissionQueue&, Millis now);

/// Removes and returns the openings that have waited for longer than `maxWait`.
std::vector<WaitingOpening> removeExpired(AdmissionQueue&, Millis now);

/// Removes and returns all openings.
std::vector<WaitingOpening> removeAll(AdmissionQueue&);

}
