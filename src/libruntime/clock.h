#pragma once

#include "libdecision/ids.h"

#include <cstdint>

namespace kingcuptrail {

/// Monotonic clock, in milliseconds since an arbitrary start. It also runs while the host is suspended, as other hosts do, so that
/// what is known of them ages in that time.
class Clock {
public:
    Millis now() const;
};

/// The wall-clock time in Unix milliseconds. It may jump, so it serves only for log lines and for comparison with
/// wall-clock times sent by other processes.
std::uint64_t unixMillis();

}
