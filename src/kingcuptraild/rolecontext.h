#pragma once

#include "activeconfig.h"
#include "libplatform/platformclient.h"
#include "libruntime/clock.h"
#include "libruntime/settings.h"
#include "libruntime/supervisor.h"

#include <asio/io_context.hpp>

namespace kingcuptrail {

/// The objects of the process that every role uses.
struct RoleContext {
    asio::io_context& context;
    const Settings& settings;
    const PlatformOptions& platform;
    const Clock& clock;
    ActiveConfig& config;
    Supervisor& root;
};

}
