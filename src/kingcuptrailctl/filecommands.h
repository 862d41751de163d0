#pragma once

#include "libplatform/config.h"
#include "result.h"

#include <optional>

namespace kingcuptrail {

/// Reads and checks a configuration file. Nothing when it cannot be read or has faults; `failure` then says so.
std::optional<Config> readConfigFile(const std::string& path, CommandResult& failure);

}
