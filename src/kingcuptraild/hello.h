#pragma once

#include "libprotocol/framing.h"
#include "libruntime/settings.h"

namespace kingcuptrail {

/// The hello a daemon sends to its peers.
wire::HelloT makeHello(const Settings& settings, wire::Role role);

}
