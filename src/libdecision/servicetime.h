#pragma once

#include <cstdint>

namespace kingcuptrail {

/// The running estimate of a service time: mean and mean absolute deviation, in milliseconds.
struct ServiceTime {
    double mean = 0;
    double deviation = 0;
    std::uint32_t samples = 0;
};

/// Adds one measured service time to the estimate. The first samples form a plain mean; later ones have a weight of
/// `minWeight`.
void recordServiceTime(ServiceTime&, double serviceTime, double minWeight);

}
