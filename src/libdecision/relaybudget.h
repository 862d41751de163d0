#pragma once

#include "ids.h"

namespace kingcuptrail {

struct RelayBudgetOptions {
    /// Announcements that a process passes on in a second, and at once after a quiet time.
    double perSecond = 16;
    double burst = 16;
};

/// Limits how many announcements a process passes on. Passing on is the fastest way to spread a single change, but after a
/// restart of everything each process would pass on every other one, and the bytes would grow with the square of the fleet.
/// What is not passed on reaches the peers by comparisons of directories, which send many entries in one message and only to
/// processes that lack them.
struct RelayBudget {
    RelayBudgetOptions options;
    double tokens = RelayBudgetOptions {}.burst;
    Millis refilledAt = 0;
};

/// Whether to pass an announcement on now; if so, counts it.
bool tryRelay(RelayBudget&, Millis now);

}
