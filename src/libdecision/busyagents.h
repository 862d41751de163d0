#pragma once

#include "enumnames.h"

#include <cstddef>
#include <cstdint>

namespace kingcuptrail {

struct BusyAgentsOptions {
    /// Agents that are asked for a free slot before an opening waits at one of them.
    std::uint32_t askedForASlot = 2;
    /// Agents that are asked to let it wait.
    std::uint32_t askedToWait = 2;
    /// Part of questions in vain from which on no agent is asked for a slot, and the part of each question in that figure.
    double mostlyBusy = 0.8;
    double smoothing = 0.05;
};

/// What becomes of an opening when agents have no room for it.
enum class BusyStep : std::uint8_t {
    /// Ask the next agent for a free slot.
    AskNext,
    /// Nobody who was asked has a free slot: wait at the one with the least work.
    WaitAtLeastLoaded,
    /// Ask the next agent to let it wait.
    AskNextToWait,
    /// As many as may be asked are full, so nearly all of them are: the caller is told at once.
    Refuse,
};

template <>
struct EnumNames<BusyStep> {
    static constexpr std::array<std::string_view, 4> names { "askNext", "waitAtLeastLoaded", "askNextToWait", "refuse" };
};

/// What one balancer has met lately.
/// Load: all agents of a service are full and callers go on coming. Harm: each opening that no queue takes is offered to
/// every agent, thousands of messages a second at the hosts that are least able to send them. Here the messages for one
/// opening are bounded, whatever the number of agents.
struct BusyAgents {
    BusyAgentsOptions options;
    /// Part of the last questions for a slot that met an agent without a free one.
    double busyShare = 0;
};

/// Notes whether an agent that was asked had no free slot.
void noteSlotQuestion(BusyAgents&, bool isBusy);

/// Whether the next agent is asked for a free slot, when so many have none. When hardly anybody has one the question only
/// costs messages.
bool needsFreeSlot(const BusyAgents&, std::uint32_t busyAgents);

/// What to do once `busyAgents` have refused the opening for want of room. `askedInRound` counts the agents that it may wait
/// at: those asked since it was last offered to all of them.
BusyStep stepAfterBusy(const BusyAgents&, std::uint32_t busyAgents, std::size_t askedInRound);

}
