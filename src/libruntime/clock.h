#pragma once

#include "libdecision/ids.h"

#include <cstdint>

namespace kingcuptrail {

/// The process's monotonic time, in milliseconds since an arbitrary start.
class Clock {
public:
    Millis now() const;
};

/// The time of day, in Unix milliseconds. It may jump: for log lines, and to compare with what another process tells in the
/// same clock.
std::uint64_t unixMillis();

}
