#pragma once

#include "libprotocol/framing.h"
#include "libruntime/settings.h"

namespace kingcuptrail {

/// Builds the hello that a daemon sends to its peers.
wire::HelloT makeHello(const Settings& settings, wire::Role role);

}
