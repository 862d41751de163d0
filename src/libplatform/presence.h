#pragma once

#include "libdecision/member.h"

#include <optional>
#include <string>

namespace kingcuptrail {

/// An agent's announcement of its upstream: the content of an object of kind `presence` that has the upstream's name.
struct Presence {
    std::string upstream;
    OwnerToken token;
    std::string service;
    std::string dataCentre;
    /// The agent's listening address for balancers, as "address:port".
    std::string address;
    MemberState state = MemberState::Serving;
    /// How long the announcement is valid without a renewal, in milliseconds.
    Millis lease = 15000;

    bool operator==(const Presence&) const = default;
};

std::optional<Presence> parsePresence(std::string_view json);
std::string toJson(const Presence& presence);

}
