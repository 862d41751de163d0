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
    /// Requests a warm target can work on at once.
    std::uint32_t slots = 1;
    std::uint32_t queueLimit = 64;
    /// Flows held open at each target on average.
    std::size_t flowsPerTarget = 100;
    /// How long the agent's warm-up from one slot to all takes at least.
    Millis warmUp = 5000;
    /// How long a started target really needs until it bears all its slots.
    Millis coldFor = 4000;
    /// A target dies when it works on more than this many times what it bears; 0 means it only gets slower.
    double fallOverFactor = 0;
};

/// The hosts and paths of the modelled deployment.
struct DeploymentSpec {
    std::vector<std::string> dataCentres;
    /// One way, in milliseconds.
    double betweenDataCentres = 1;
    double withinDataCentre = 0.1;
    double toCallers = 1;
    std::size_t balancers = 4;
    /// How often agents and balancers tell each other their state; news of load is as old as this.
    Millis heartbeat = 1000;
    Millis linkSilence = 2500;
    Millis lease = 15000;
    /// From a write at the platform to its news at a balancer, at most.
    Millis watchDelay = 50;
    std::vector<ServiceSpec> services;
};

/// What callers do with one service.
struct LoadSpec {
    std::string service;
    /// Work offered, as a part of what all warm targets together bear.
    double utilisation = 0.5;
    /// Mean time of a query and of an upload at a warm target.
    Millis shortWork = 40;
    Millis longWork = 400;
    /// Part of the requests that is long, and part that must run at most once.
    double longShare = 0;
    double onceShare = 0;
    Millis deadline = 2000;
    /// Mean time a flow stays open; 0 means for ever.
    Millis flowLife = 0;
    /// Time between packets of an idle flow.
    Millis flowInterval = 10000;
    /// Part of the flows that carry a feed; requests go over the others.
    double feedShare = 0.5;
    /// Part of the once-only requests that their caller sends a second time, with the same key, while the first runs.
    double repeatShare = 0;
    /// Hosts that the callers run on; the callers of one host share a retry budget.
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
    /// Upstreams' answers come crossed: with the content of another request.
    CrossedAnswers,
    /// Packets that name a flow and its owner, but another service's address.
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
    /// Index of the balancer, target or data centre; targets count through all services in order.
    std::size_t target = 0;
    /// Second index: the target of a link, whose balancer is `target`.
    std::size_t peer = 0;
    /// How long it lasts; 0 means to the end.
    Millis duration = 0;
    /// Slowness or load as a factor, a packet fault as a probability.
    double value = 0;
};

/// A whole experiment, as read from its file.
struct ExperimentSpec {
    std::string name;
    std::uint64_t seed = 1;
    /// Time before measuring starts, in which flows open and targets warm up.
    Millis warmUp = 10000;
    Millis duration = 60000;
    DeploymentSpec deployment;
    std::vector<LoadSpec> loads;
    std::vector<FailureSpec> failures;
    std::vector<PolicyName> policies;
};

/// Targets of all services together.
std::size_t targetCount(const DeploymentSpec& deployment);

/// The data centre a target or balancer stands in, by index: they are dealt round.
std::size_t dataCentreOf(std::size_t index, const DeploymentSpec& deployment);

/// The service of a target and the load put on a service.
std::size_t serviceOf(std::size_t target, const DeploymentSpec& deployment);
const LoadSpec& loadOf(std::size_t service, const ExperimentSpec& experiment);

/// The stable id of a target.
UpstreamId targetId(std::size_t target);

/// Names as they stand in histories.
std::string targetName(std::size_t target, const DeploymentSpec& deployment);
std::string agentName(std::size_t target, const DeploymentSpec& deployment);
std::string balancerName(std::size_t balancer);

/// Mean time of one request at a warm target, in milliseconds.
double meanWork(const LoadSpec& load);

}
