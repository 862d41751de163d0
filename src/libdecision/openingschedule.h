#pragma once

#include "ids.h"

namespace kingcuptrail {

/// When callers of datagram flows send copies of an opening packet and when they give the flow up, in milliseconds since
/// they sent it first. Part of the protocol of flows.
struct OpeningSchedule {
    Millis firstCopy = 200;
    Millis secondCopy = 600;
    Millis giveUp = 1400;
};

/// How long before its caller gives an opening up it gets its final answer, in milliseconds, so that the answer still finds
/// the caller there.
inline constexpr Millis openingAnswerMargin = 100;

/// How long ago the caller sent the first packet of an opening, at least, when this one is its copy number `copies`.
constexpr Millis leastAgeOf(std::uint32_t copies, const OpeningSchedule& schedule = {})
{
    if (copies == 0)
        return 0;
    return copies == 1 ? schedule.firstCopy : schedule.secondCopy;
}

/// For how long an opening that has just been sent for the first time may wait for its answer.
constexpr Millis longestOpeningWait(const OpeningSchedule& schedule = {})
{
    return schedule.giveUp - openingAnswerMargin;
}

}
