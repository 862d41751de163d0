#pragma once

#include "enumnames.h"
#include "ids.h"

#include <span>

namespace kingcuptrail {

struct DrainOptions {
    /// The time within which balancers receive the announcement, in milliseconds: at once over their links, or within the
    /// delay of the watch from the platform. Until then new flows may arrive, and open flows are served as before.
    Millis announceGrace = 1000;
    /// A flow without a pending request for this long is closed, in milliseconds.
    Millis idleBeforeClose = 1000;
    /// How long the agent keeps running after its last flow was closed, so that it can answer callers that missed the close,
    /// in milliseconds.
    Millis closeGrace = 2000;
    /// The maximum duration of the drain, in milliseconds; 0 means no limit, since a feed may last for hours.
    Millis limit = 0;
};

/// One open flow of a draining agent.
struct DrainFlow {
    Millis idleSince = 0;
    /// Requests and feeds in progress, and answers not yet acknowledged.
    std::uint32_t pending = 0;
};

/// The progress of a drain.
struct DrainProgress {
    Millis startedAt = 0;
    /// Whether the platform or every linked balancer has acknowledged the announcement that this agent drains, and when.
    bool announced = false;
    Millis announcedAt = 0;
    /// When the last flow so far was closed here; 0 if none was.
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

/// Whether a draining agent refuses requests that arrive over open flows.
bool refusesNewWork(const DrainProgress&, const DrainOptions&, Millis now);

/// What to do with one flow of a draining agent.
DrainFlowStep drainFlow(const DrainFlow&, const DrainProgress&, const DrainOptions&, Millis now);

/// Whether a draining agent may exit, given its open flows.
DrainStep nextDrainStep(std::span<const DrainFlow> flows, const DrainProgress&, const DrainOptions&, Millis now);

}
