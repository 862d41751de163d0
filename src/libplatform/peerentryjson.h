#pragma once

#include "libdecision/directory.h"

#include <optional>
#include <string>
#include <string_view>

namespace kingcuptrail {

/// An announcement as the store holds it.
std::string toJson(const PeerEntry&);

/// Reads an announcement; nothing when the text is not one.
std::optional<PeerEntry> parsePeerEntry(std::string_view json);

}
