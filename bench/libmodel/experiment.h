#pragma once

#include "libdecision/enumnames.h"
#include "libdecision/ids.h"
#include "policy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kingcuptrail {

/// One service of the modelled deployment.
struct ServiceSpec {
    std::string name;
    std::size_t targets = 1;
    /// Requests that a warm target can process concurrently.
    std::uint32_t slots = 1;
    std::uint32_t queueLimit = 64;
    /// Mean number of open flows for each target.
    std::size_t flowsPerTarget = 100;
    /// Minimum time in which the agent's warm-up raises its limit from one slot to all.
    Millis warmUp = 5000;
    /// Time that a started target needs until it can serve requests in all its slots.
    Millis coldDuration = 4000;
    /// A target crashes when it processes more than this factor times what it can serve; with 0 it only gets slower.
    double crashFactor = 0;
};

/// The hosts and paths of the modelled deployment.
struct DeploymentSpec {
    std::vector<std::string> dataCentres;
    /// One-way delays in milliseconds.
    double betweenDataCentres = 1;
    double withinDataCentre = 0.1;
    double toCallers = 1;
    std::size_t balancers = 4;
    /// Interval of the heartbeats between agents and balancers, which is also the greatest age of a load report.
    Millis heartbeat = 1000;
    Millis linkSilence = 2500;
    Millis lease = 15000;
    /// Longest time from a write at the platform until a balancer receives the change.
    Millis watchDelay = 50;
    std::vector<ServiceSpec> services;
};

/// The load that callers put on one service.
struct LoadSpec {
    std::string service;
    /// Offered load, as a fraction of the capacity of all targets when they are warm.
    double utilisation = 0.5;
    /// Mean time that a warm target needs for a query and for an upload.
    Millis shortWork = 40;
    Millis longWork = 400;
    /// Fraction of the requests that are long, and fraction that must run at most once.
    double longShare = 0;
    double onceShare = 0;
    Millis deadline = 2000;
    /// Mean lifetime of a flow; 0 means that flows stay open.
    Millis flowLifetime = 0;
    /// Time between packets of an idle flow.
    Millis flowInterval = 10000;
    /// Fraction of the flows that carry a feed; requests use the other flows.
    double feedShare = 0.5;
    /// Fraction of the once-only requests that their caller sends a second time, with the same key, while the first runs.
    double repeatShare = 0;
    /// Number of hosts on which the callers run; the callers of one host share a retry budget.
    std::size_t callerHosts = 20;
};

/// What happens to the deployment during a run.
enum class FailureKind : std::uint8_t {
    BalancerKill,
    BalancerFreeze,
    BalancerJoin,
    AgentKill,
    AgentFreeze,
    UpstreamKill,
    UpstreamCold,
    UpstreamSlow,
    UpstreamShed,
    Drain,
    Return,
    Restart,
    DataCentreOut,
    DataCentreBack,
    OperatorRace,
    LinkSilent,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    LoadFactor,
    PacketLoss,
    PacketDuplication,
    PacketReorder,
    /// Answers of upstreams arrive with the content of another request.
    CrossedAnswers,
    /// Packets name a flow and its owner, but the address of another service.
    StrayPackets,
};

template <>
struct EnumNames<FailureKind> {
    static constexpr std::array<std::string_view, 25> names {
        "balancerKill",
        "balancerFreeze",
        "balancerJoin",
        "agentKill",
        "agentFreeze",
        "upstreamKill",
        "upstreamCold",
        "upstreamSlow",
        "upstreamShed",
        "drain",
        "return",
        "restart",
        "dataCentreOut",
        "dataCentreBack",
        "operatorRace",
        "linkSilent",
        "storeDown",
        "storeSlow",
        "storeLosesAnswers",
        "loadFactor",
        "packetLoss",
        "packetDuplication",
        "packetReorder",
        "crossedAnswers",
        "strayPackets",
    };
};

/// One event of the failure plan.
struct FailureSpec {
    Millis at = 0;
    FailureKind kind = FailureKind::BalancerKill;
    /// Index of the balancer, target or data centre. Targets are numbered through all services in order.
    std::size_t target = 0;
    /// Second index of a link failure: the target at the agent's end of the link; `target` is the balancer.
    std::size_t peer = 0;
    /// How long the failure lasts; 0 means until the end of the run.
    Millis duration = 0;
    /// A factor for slowness and load, a probability for packet faults.
    double value = 0;
};

/// A whole experiment, as read from its file.
struct ExperimentSpec {
    std::string name;
    std::uint64_t seed = 1;
    /// Time before measuring starts, in which callers open their flows.
    Millis warmUp = 10000;
    Millis duration = 60000;
    DeploymentSpec deployment;
    std::vector<LoadSpec> loads;
    std::vector<FailureSpec> failures;
    std::vector<PolicyName> policies;
};

/// Number of targets of all services.
std::size_t targetCount(const DeploymentSpec& deployment);

/// The index of the data centre of a target or balancer; they are assigned round-robin.
std::size_t dataCentreOf(std::size_t index, const DeploymentSpec& deployment);

/// The index of the service of a target, and the load on a service.
std::size_t serviceOf(std::size_t target, const DeploymentSpec& deployment);
const LoadSpec& loadOf(std::size_t service, const ExperimentSpec& experiment);

/// The stable id of a target.
UpstreamId targetId(std::size_t target);

/// Names of processes in recorded histories.
std::string targetName(std::size_t target, const DeploymentSpec& deployment);
std::string agentName(std::size_t target, const DeploymentSpec& deployment);
std::string balancerName(std::size_t balancer);

/// Mean time that a warm target needs for one request, in milliseconds.
double meanWork(const LoadSpec& load);

}
