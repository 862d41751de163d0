#include "servicetime.h"

#include <algorithm>
#include <cmath>

namespace kingcuptrail {

void noteServiceTime(ServiceTime& estimate, double serviceTime, double leastWeight)
{
    ++estimate.samples;
    if (estimate.samples == 1) {
        estimate.mean = serviceTime;
        return;
    }
    const double weight = std::max(1.0 / estimate.samples, leastWeight);
    const double difference = serviceTime - estimate.mean;
    estimate.mean += weight * difference;
    estimate.deviation += weight * (std::abs(difference) - estimate.deviation);
}

}
