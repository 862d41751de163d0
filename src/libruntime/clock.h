#pragma once

#include "libdecision/ids.h"

namespace kingcuptrail {

/// The process's monotonic time, in milliseconds since an arbitrary start.
class Clock {
public:
    Millis now() const;
};

}
