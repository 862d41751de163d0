#include "servicetime.h"

#include <algorithm>
#include <cmath>

namespace kingcuptrail {

void recordServiceTime(ServiceTime& estimate, double serviceTime, double minWeight)
{
    ++estimate.samples;
    if (estimate.samples == 1) {
        estimate.mean = serviceTime;
        return;
    }
    const double weight = std::max(1.0 / estimate.samples, minWeight);
    const double difference = serviceTime - estimate.mean;
    estimate.mean += weight * difference;
    estimate.deviation += weight * (std::abs(difference) - estimate.deviation);
}

}
