#pragma once

#include "enumnames.h"
#include "ids.h"

namespace kingcuptrail {

/// What balancers may send to a member.
enum class MemberState : std::uint8_t {
    /// New flows and packets.
    Serving,
    /// Packets of flows it holds, no new flows.
    Draining,
    /// Its lease has lapsed: packets of flows it holds while its link is up, no new flows.
    Lapsed,
    /// Its data centre is taken out: no packets.
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
    /// Whether this balancer's link to the agent is up.
    bool linked = false;
    /// Whether its process is known to have ended, because its address refuses connections or belongs to a successor.
    bool gone = false;
    /// The number of open flows in the agent's last report, plus those that this balancer has placed there since.
    double load = 0;
};

}
