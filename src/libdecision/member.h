#pragma once

#include "enumnames.h"
#include "ids.h"

namespace kingcuptrail {

/// What a member may be given.
enum class MemberState : std::uint8_t {
    /// New flows and packets.
    Serving,
    /// Packets of flows it holds, no new flow.
    Draining,
    /// Its lease has lapsed: packets of flows it holds while its link lives, no new flow.
    Lapsed,
    /// Its data centre is taken out: nothing at all.
    Out,
};

template <>
struct EnumNames<MemberState> {
    static constexpr std::array<std::string_view, 4> names { "serving", "draining", "lapsed", "out" };
};

/// One upstream as a balancer sees it.
struct Member {
    OwnerToken token;
    MemberState state = MemberState::Serving;
    /// Whether this balancer's link to the agent is up now.
    bool linked = false;
    /// Whether its process is known to have ended: its address refuses connections or is held by a successor.
    bool gone = false;
    /// Open flows by the agent's last news, plus what this balancer has placed there since.
    double load = 0;
};

}
