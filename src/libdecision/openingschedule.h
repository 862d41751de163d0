#pragma once

#include "ids.h"

namespace kingcuptrail {

/// When callers of datagram flows resend an opening packet and when they give up the flow, in milliseconds since they first
/// sent it. Part of the flow protocol.
struct OpeningSchedule {
    Millis firstCopy = 200;
    Millis secondCopy = 600;
    Millis giveUp = 1400;
};

/// The final answer to an opening is sent this long before its caller gives up, in milliseconds, so that it still reaches
/// the caller.
inline constexpr Millis openingAnswerMargin = 100;

/// Minimum time since the caller sent the first packet of an opening when this one is its copy number `copies`, in
/// milliseconds.
constexpr Millis minOpeningAge(std::uint32_t copies, const OpeningSchedule& schedule = {})
{
    if (copies == 0)
        return 0;
    return copies == 1 ? schedule.firstCopy : schedule.secondCopy;
}

/// How long an opening that was just sent for the first time may wait for its answer, in milliseconds.
constexpr Millis maxOpeningWait(const OpeningSchedule& schedule = {})
{
    return schedule.giveUp - openingAnswerMargin;
}

}
