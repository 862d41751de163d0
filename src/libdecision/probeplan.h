#pragma once

#include "holdersearch.h"

#include <map>
#include <string>

namespace kingcuptrail {

/// Agents of one search by the name of their data centre.
using AgentsByDataCentre = std::map<std::string, std::vector<std::uint32_t>, std::less<>>;

/// The addresses of all agents in all data centres.
std::vector<std::uint32_t> addressesOf(const AgentsByDataCentre&);

/// The agents that are also in `agents`; data centres without any are left out.
AgentsByDataCentre filterAgents(const AgentsByDataCentre&, std::span<const std::uint32_t> agents);

/// An agent that does not know whether its upstream holds the flow, because it was restarted while the upstream kept
/// running. It finds out by delivering a packet of the flow, which the upstream accepts or returns.
struct UnsureAgent {
    std::uint32_t address = 0;
    std::string dataCentre;
    /// The agent's upstream serves a service that the flow's address is routed to now.
    bool isOfService = true;
};

/// Agents of one data centre that are to receive the packet now.
struct ProbeGroup {
    std::string dataCentre;
    std::vector<std::uint32_t> members;
    /// The packet is sent to any one of them, which forwards it to the others.
    bool isForwarded = false;
};

struct ProbePlanOptions {
    /// In a data centre with at least this many agents, one agent forwards the packet to the others. That takes fewer
    /// messages from three agents on, and with four it is worth the second round trip, which stays within the data centre.
    std::size_t minAgentsForForwarding = 4;
};

/// The unsure agents of one search, and which of them have received the packet. When every process is restarted while the
/// upstreams keep running, no agent knows a flow, and balancers on narrow links must find each flow again. With one copy
/// per agent they sent about sixty times the bytes of their callers; in the six seconds after such a restart, with 64
/// agents behind links of 10 Mbit/s, fewer than half of the requests were answered in time. With one copy per data centre
/// nine of ten are, and the bytes don't grow with the number of agents.
struct ProbePlan {
    ProbePlanOptions options;
    std::string ownDataCentre;
    std::vector<UnsureAgent> waiting;
    std::vector<UnsureAgent> probed;
    /// Data centres in which one agent has forwarded the packet to all others.
    std::vector<std::string> forwardedDataCentres;
};

void addUnsureAgent(ProbePlan&, UnsureAgent agent);

/// Records that an agent was sent the packet before it was known whether it is unsure.
void addProbedAgent(ProbePlan&, UnsureAgent agent);

/// Returns the probes to send now and counts their agents as probed. Agents of the balancer's own data centre come first,
/// since it holds most flows. Other data centres follow when these agents have denied the flow or when `isNearOverdue` is
/// set. Agents of other services come last, when all others have denied it, since they hold the flow only if its route has
/// changed. A data centre with at least `minAgentsForForwarding` agents is probed through one agent at most once in a search.
std::vector<ProbeGroup> nextProbes(ProbePlan&, const HolderSearch&, const AgentsByDataCentre& asked, bool isNearOverdue);

/// Whether this agent was sent the packet.
bool wasProbed(const ProbePlan&, std::uint32_t agent);

}
