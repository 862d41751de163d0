#include "idleclose.h"

#include <algorithm>
#include <cmath>

namespace kingcuptrail {

bool indicatesRestart(IdleCloseHistory& history, const IdleCloseOptions& options, Millis lifetime, bool sentDataBeforeClose)
{
    if (sentDataBeforeClose)
        return false;
    const Millis tolerance = std::max(options.minVariation, static_cast<Millis>(options.variation * static_cast<double>(history.usualLifetime)));
    const bool isUsual = history.usualLifetime > 0 && std::abs(lifetime - history.usualLifetime) <= tolerance;
    history.usualLifetime = lifetime;
    return !isUsual;
}

}
