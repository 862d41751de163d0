#pragma once

#include <cstdint>

namespace kingcuptrail {

/// The running estimate of a service time: mean and mean absolute deviation, in milliseconds.
struct ServiceTime {
    double mean = 0;
    double deviation = 0;
    std::uint32_t samples = 0;
};

/// Takes one measured service time into the estimate: the plain mean at first, then with `leastWeight` for each.
void noteServiceTime(ServiceTime&, double serviceTime, double leastWeight);

}
