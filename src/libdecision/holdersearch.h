#pragma once

#include "agentflows.h"

#include <span>
#include <vector>

namespace kingcuptrail {

/// State of a balancer's search for the agent that holds a flow.
enum class SearchState : std::uint8_t {
    Asking,
    Found,
    /// Every agent that could hold the flow has denied it.
    HeldByNobody,
};

template <>
struct EnumNames<SearchState> {
    static constexpr std::array<std::string_view, 3> names { "asking", "found", "heldByNobody" };
};

/// A search for the holder of one flow. Every agent is asked, and a packet of the flow waits for the answer.
struct HolderSearch {
    Millis startedAt = 0;
    /// Every agent that was asked, including those that have answered.
    std::vector<std::uint32_t> asked;
    std::vector<std::uint32_t> awaited;
    /// Agents whose upstream may hold the flow from before the agent's start; the packet itself is sent to them.
    std::vector<std::uint32_t> unsure;
    std::uint32_t holder = 0;
    SearchState state = SearchState::Asking;
};

/// Begins a search among `agents`. If `agents` is empty the search stays in state Asking, since no agent can deny the flow.
HolderSearch beginSearch(std::vector<std::uint32_t> agents, Millis now);

/// Adds those of `agents` to the search that were not asked yet, and returns them. If there are any, a search that ended
/// with HeldByNobody goes on.
std::vector<std::uint32_t> addMissingAgents(HolderSearch&, std::span<const std::uint32_t> agents);

/// Takes agents that are certainly gone out of the search and returns the resulting state. They are asked again by
/// addMissingAgents() if they come back. A search without any agent left stays in state Asking.
SearchState removeAgents(HolderSearch&, std::span<const std::uint32_t> agents);

/// The agents that have not denied the flow: those that did not answer and those that are unsure. An agent that was asked
/// through another one of its data centre counts as unsure when that one is unsure about it, even if it is gone.
std::vector<std::uint32_t> agentsWithoutDenial(const HolderSearch&);

/// Those of `agents` that have not answered yet.
std::vector<std::uint32_t> awaitedOf(const HolderSearch&, std::span<const std::uint32_t> agents);

/// What an agent that answers for its data centre says about the other agents there.
struct DelegatedAnswer {
    std::vector<std::uint32_t> denied;
    /// Agents that it has asked and that could not deny the flow.
    std::vector<std::uint32_t> open;
    /// Agents that it does not know.
    std::vector<std::uint32_t> unknown;
    /// Every other agent that the asking balancer knows there has denied the flow, and `denied` is not listed.
    bool haveOthersDenied = false;
};

/// The most agents that an answer for a data centre may name, so that it fits into one datagram.
inline constexpr std::size_t maxAgentsInAnswer = 250;

/// Shortens an answer that names too many agents. While the balancer knows the same agents, those that could not deny the flow
/// are enough, so that a search can be certain in a data centre of any size; otherwise such an answer names nobody.
DelegatedAnswer shortenAnswer(DelegatedAnswer, bool isSameDirectory);

/// Classifies those of `members` that have not denied the flow yet by the answer received for their data centre. An agent that has
/// answered unsure itself is left out unless the answer lists it as denied.
DelegatedAnswer classifyDelegatedAnswer(const HolderSearch&, std::span<const std::uint32_t> members, const DelegatedAnswer& received);

/// Records one agent's answer and returns the resulting state. An agent that was not asked counts only if it holds the
/// flow.
SearchState recordAnswer(HolderSearch&, std::uint32_t agent, HolderAnswer);

}
