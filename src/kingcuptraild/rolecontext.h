#pragma once

#include "configkeeper.h"
#include "libplatform/platformclient.h"
#include "libruntime/clock.h"
#include "libruntime/settings.h"
#include "libruntime/supervisor.h"

#include <asio/io_context.hpp>

namespace kingcuptrail {

/// What both roles of the daemon build on.
struct RoleContext {
    asio::io_context& context;
    const Settings& settings;
    const PlatformOptions& platform;
    const Clock& clock;
    ConfigKeeper& config;
    Supervisor& root;
};

}
