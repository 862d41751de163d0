#pragma once

#include "libplatform/config.h"
#include "result.h"

#include <optional>

namespace kingcuptrail {

/// Reads and validates a configuration file. Returns nothing and sets `failure` when it cannot be read or has errors.
std::optional<Config> readConfigFile(const std::string& path, CommandResult& failure);

}
