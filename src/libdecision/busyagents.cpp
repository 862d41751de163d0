#include "busyagents.h"

namespace kingcuptrail {

void noteSlotQuestion(BusyAgents& state, bool isBusy)
{
    state.busyShare += ((isBusy ? 1.0 : 0.0) - state.busyShare) * state.options.smoothing;
}

bool needsFreeSlot(const BusyAgents& state, std::uint32_t busyAgents)
{
    return state.busyShare < state.options.mostlyBusy && busyAgents < state.options.askedForASlot;
}

BusyStep stepAfterBusy(const BusyAgents& state, std::uint32_t busyAgents, std::size_t askedInRound)
{
    const BusyAgentsOptions& options = state.options;
    if (busyAgents < options.askedForASlot)
        return BusyStep::AskNext;
    if (busyAgents == options.askedForASlot)
        return askedInRound > 0 ? BusyStep::WaitAtLeastLoaded : BusyStep::AskNext;
    return busyAgents < options.askedForASlot + options.askedToWait ? BusyStep::AskNextToWait : BusyStep::Refuse;
}

}
