#pragma once

#include "directory.h"

#include <span>
#include <string>
#include <vector>

namespace kingcuptrail {

/// The longest name of a process, data centre or service that is taken from other programs, in bytes. Names are part of datagrams,
/// and one that is too long for them would keep a process from being heard at all.
inline constexpr std::size_t maxNameBytes = 128;

/// How many of the first entries fit into one gossip message; at least one if there is any.
std::size_t entriesThatFit(std::span<const PeerEntry> entries);

/// The names of data centres that are out, of which every gossip message has to carry all that are taken.
struct OutageSelection {
    std::vector<std::string> taken;
    std::vector<std::string> dropped;
};

/// Selects names that fit into a gossip message. Data centres of known processes come first, since another program may have
/// written any number of other names.
OutageSelection selectOutages(std::vector<std::string> names, const Directory&);

}
