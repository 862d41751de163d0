#include "clock.h"

#include <chrono>

namespace kingcuptrail {

Millis Clock::now() const
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart).count();
}

}
