#pragma once

#include "libdecision/member.h"

#include <optional>
#include <string>

namespace kingcuptrail {

/// What an agent announces about its upstream; one object of kind `presence`, named by the upstream, in the platform.
struct Presence {
    std::string upstream;
    OwnerToken token;
    std::string service;
    std::string dataCentre;
    /// Where balancers reach the agent, "address:port".
    std::string address;
    MemberState state = MemberState::Serving;
    /// How long the announcement holds without a renewal, in milliseconds.
    Millis lease = 15000;

    bool operator==(const Presence&) const = default;
};

std::optional<Presence> parsePresence(std::string_view json);
std::string toJson(const Presence& presence);

}
