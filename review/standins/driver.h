#pragma once

#include "world.h"

#include <functional>

namespace review {

/// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notRun = 2;

/// Runs a case in a deployment with settings from run.sh's environment, and records its result. `TROUBLE=0` in the environment
/// leaves out the disruption.
int runCase(const std::function<int(World& world, bool hasTrouble)>& play);

}
