#pragma once

#include "libdecision/directory.h"
#include "platformclient.h"

#include <optional>
#include <string>
#include <string_view>

namespace kingcuptrail {

/// The JSON text of an agent's announcement, as stored in the platform.
std::string toJson(const PeerEntry&);

/// Parses an announcement; nothing when the text is not valid.
std::optional<PeerEntry> parsePeerEntry(std::string_view json);

/// The announcement that the store holds under its own name; nothing for an object that another program wrote.
std::optional<PeerEntry> parseStoredEntry(const PlatformObject&);

}
