#include "relaybudget.h"

#include <algorithm>

namespace kingcuptrail {

bool tryRelay(RelayBudget& budget, Millis now)
{
    constexpr double millisPerSecond = 1000;
    const double refill = static_cast<double>(now - budget.refilledAt) / millisPerSecond * budget.options.perSecond;
    budget.tokens = std::min(budget.options.burst, budget.tokens + refill);
    budget.refilledAt = now;
    if (budget.tokens < 1)
        return false;
    --budget.tokens;
    return true;
}

}
