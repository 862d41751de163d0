#pragma once

#include "enumnames.h"

#include <cstddef>
#include <cstdint>

namespace kingcuptrail {

struct OfferPolicyOptions {
    /// Number of agents that are asked for a free slot before the opening is queued at one of them.
    std::uint32_t maxSlotOffers = 2;
    /// Number of agents that are then asked to queue the opening.
    std::uint32_t maxQueueOffers = 2;
    /// When at least this fraction of the requests for a slot is refused, agents are no longer asked for one. `smoothing`
    /// is the weight of each new request in that fraction.
    double busyThreshold = 0.8;
    double smoothing = 0.05;
};

/// The next step for an opening that an agent has refused for want of capacity.
enum class OfferStep : std::uint8_t {
    /// Ask the next agent for a free slot.
    AskNext,
    /// None of the agents that were asked has a free slot: queue the opening at the one with the least work.
    WaitAtLeastLoaded,
    /// Ask the next agent to queue the opening.
    AskNextToWait,
    /// The limit of agents to ask is reached and all are full, so nearly all agents are: refuse the opening at once.
    Refuse,
};

template <>
struct EnumNames<OfferStep> {
    static constexpr std::array<std::string_view, 4> names { "askNext", "waitAtLeastLoaded", "askNextToWait", "refuse" };
};

/// How often agents lately had no free slot, as one balancer observed. When all agents of a service are full and callers
/// keep coming, offering each opening to every agent would cost thousands of messages a second on hosts that are already
/// overloaded. The messages for one opening are therefore bounded, whatever the number of agents.
struct OfferPolicy {
    OfferPolicyOptions options;
    /// Fraction of the recent requests for a slot that were refused, smoothed.
    double busyShare = 0;
};

/// Records whether an agent that was asked for a free slot had none.
void recordSlotOffer(OfferPolicy&, bool isBusy);

/// Whether the next agent is asked for a free slot after `busyAgents` had none. When hardly any agent has one, asking only
/// costs messages.
bool needsFreeSlot(const OfferPolicy&, std::uint32_t busyAgents);

/// The next step after `busyAgents` have refused the opening for want of capacity. `offersInRound` counts the agents asked
/// since the opening was last offered to all of them; it may wait at one of these.
OfferStep nextOfferStep(const OfferPolicy&, std::uint32_t busyAgents, std::size_t offersInRound);

}
