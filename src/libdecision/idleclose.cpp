#include "idleclose.h"

#include <algorithm>
#include <cmath>

namespace kingcuptrail {

bool showsRestart(IdleCloseHistory& history, const IdleCloseOptions& options, Millis life, bool toldWhy)
{
    if (toldWhy)
        return false;
    const Millis tolerance = std::max(options.leastVariation, static_cast<Millis>(options.variation * static_cast<double>(history.usualLife)));
    const bool isUsual = history.usualLife > 0 && std::abs(life - history.usualLife) <= tolerance;
    history.usualLife = life;
    return !isUsual;
}

}
