#include "offerpolicy.h"

namespace kingcuptrail {

void recordSlotOffer(OfferPolicy& state, bool isBusy)
{
    state.busyShare += ((isBusy ? 1.0 : 0.0) - state.busyShare) * state.options.smoothing;
}

bool needsFreeSlot(const OfferPolicy& state, std::uint32_t busyAgents)
{
    return state.busyShare < state.options.busyThreshold && busyAgents < state.options.maxSlotOffers;
}

OfferStep nextOfferStep(const OfferPolicy& state, std::uint32_t busyAgents, std::size_t offersInRound)
{
    const OfferPolicyOptions& options = state.options;
    if (busyAgents < options.maxSlotOffers)
        return OfferStep::AskNext;
    if (busyAgents == options.maxSlotOffers)
        return offersInRound > 0 ? OfferStep::WaitAtLeastLoaded : OfferStep::AskNext;
    return busyAgents < options.maxSlotOffers + options.maxQueueOffers ? OfferStep::AskNextToWait : OfferStep::Refuse;
}

}
