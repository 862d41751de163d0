#pragma once

#include "enumnames.h"
#include "ids.h"

#include <span>

namespace kingcuptrail {

struct DrainOptions {
    /// After the announcement, balancers learn of it within this time, in milliseconds: at once over their links, and from
    /// the platform within its watch's delay. Until then new flows may come, and held ones are served as before.
    Millis announceGrace = 1000;
    /// A flow without a pending request for this long is closed, in milliseconds.
    Millis idleBeforeClose = 1000;
    /// The agent stays this long after its last flow has ended, to tell callers that have not heard of it, in milliseconds.
    Millis closeGrace = 2000;
    /// How long the shutdown may take, in milliseconds; 0 is without limit. Feeds last a shift.
    Millis limit = 0;
};

/// One open flow of an agent that leaves.
struct DrainFlow {
    Millis idleSince = 0;
    /// Requests and feeds in progress, and answers not yet acknowledged.
    std::uint32_t pending = 0;
};

/// How far the leaving has come.
struct DrainProgress {
    Millis startedAt = 0;
    /// Whether the platform or every linked balancer has taken the news that this agent leaves, and when.
    bool announced = false;
    Millis announcedAt = 0;
    /// When a flow last ended here; 0 while none has.
    Millis lastClosedAt = 0;
};

enum class DrainFlowStep : std::uint8_t {
    Keep,
    CloseIdle,
};

enum class DrainStep : std::uint8_t {
    Wait,
    Done,
    LimitReached,
};

template <>
struct EnumNames<DrainStep> {
    static constexpr std::array<std::string_view, 3> names { "wait", "done", "limitReached" };
};

/// Whether a leaving agent refuses requests that come over flows it holds.
bool refusesNewWork(const DrainProgress&, const DrainOptions&, Millis now);

/// What to do with one flow of a leaving agent.
DrainFlowStep drainFlow(const DrainFlow&, const DrainProgress&, const DrainOptions&, Millis now);

/// Whether the leaving agent may exit, given its open flows.
DrainStep nextDrainStep(std::span<const DrainFlow> flows, const DrainProgress&, const DrainOptions&, Millis now);

}
