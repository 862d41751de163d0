#include "clock.h"

#include <chrono>
#include <ctime>

namespace kingcuptrail {

Millis Clock::now() const
{
    constexpr Millis millisPerSecond = 1000;
    constexpr Millis nanosPerMilli = 1000000;
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Millis { time.tv_sec } * millisPerSecond + time.tv_nsec / nanosPerMilli;
}

std::uint64_t unixMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}
