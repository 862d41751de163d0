#include "simulation.h"

#include <algorithm>
#include <cmath>

namespace kingcuptrail {

namespace {

    constexpr Micros busySampleInterval = 100 * microsPerMilli;
    constexpr Micros second = 1000 * microsPerMilli;
    /// The return of a target is complete when it holds its share of flows within this factor.
    constexpr double returnShareFactor = 1.25;
    constexpr double millisPerSecond = 1000;

}

Simulation::Simulation(const ExperimentSpec& experiment, const PolicyOptions& policy, bool recordHistory)
    : m_experiment(experiment)
    , m_policy(policy)
    , m_random(experiment.seed)
    , m_network(m_experiment.deployment, m_loop, m_random)
    , m_history(m_loop, recordHistory)
    , m_context { m_experiment, m_policy, m_loop, m_random, m_network, m_metrics, m_history }
    , m_store(m_context)
{
    build();
}

void Simulation::build()
{
    const DeploymentSpec& deployment = m_experiment.deployment;
    const std::size_t targets = targetCount(deployment);
    for (std::size_t target = 0; target < targets; ++target) {
        const ServiceSpec& service = deployment.services[serviceOf(target, deployment)];
        m_upstreams.push_back(std::make_unique<ModelUpstream>(m_loop, ModelUpstreamOptions { .slots = service.slots, .coldDuration = service.coldDuration, .crashFactor = service.crashFactor }));
        m_agents.push_back(std::make_unique<ModelAgent>(m_context, m_store, *m_upstreams.back(), target));
        m_agents.back()->onLinkClosed = [this, target](std::size_t balancer) {
            m_loop.after(connectionResetDelay, [this, target, balancer] { m_balancers[balancer]->handleLinkLoss(target); });
        };
    }
    for (std::size_t balancer = 0; balancer < deployment.balancers; ++balancer)
        m_balancers.push_back(std::make_unique<ModelBalancer>(m_context, m_store, balancer));
    m_callers = std::make_unique<ModelCallers>(m_context, [this](const OwnerToken& owner, RefusalReason reason) { return causeOf(owner, reason); });
    m_busySum.resize(targets);
    m_busySamples.resize(targets);
}

/// Sets up the initial state: all targets announced and warm, all balancers started.
void Simulation::setUpSteadyState()
{
    std::vector<TargetRecord> records;
    for (std::size_t target = 0; target < m_agents.size(); ++target) {
        const OwnerToken token { .upstream = targetId(target), .incarnation = 1 };
        records.push_back({ .token = token, .announced = true });
        m_upstreams[target]->startWarm();
        recordUpstreamStart(target);
        m_agents[target]->startSteady(token);
    }
    m_store.seed(std::move(records));
    for (const auto& balancer : m_balancers)
        balancer->start();
}

void Simulation::run()
{
    setUpSteadyState();
    m_callers->start();
    for (const FailureSpec& failure : m_experiment.failures)
        schedule(failure);
    m_loop.at(toMicros(m_experiment.warmUp), [this] {
        m_metrics.isWarmingUp = false;
        sampleSecond();
        sampleBusy();
    });
    const Micros measured = toMicros(m_experiment.warmUp + m_experiment.duration);
    m_loop.runUntil(measured);
    m_callers->stopRequests();
    // Runs on until the deadlines of the last requests have passed.
    m_loop.runUntil(measured + 5 * second);
    for (const auto& upstream : m_upstreams)
        m_metrics.overloadCrashes += upstream->overloadCrashes();
    for (std::size_t service = 0, first = 0; service < m_experiment.deployment.services.size(); ++service) {
        std::vector<double> means;
        for (const std::size_t end = first + m_experiment.deployment.services[service].targets; first < end; ++first) {
            if (m_busySamples[first] > 0)
                means.push_back(m_busySum[first] / static_cast<double>(m_busySamples[first]));
        }
        const Imbalance busy = imbalanceOf(means);
        m_metrics.busyImbalance.add(busy.maxOverMean);
        m_metrics.busyVariation.add(busy.variation);
    }
}

void Simulation::recordProcess(HistoryKind kind, Endpoint endpoint)
{
    m_history.record([&] {
        if (endpoint.kind == EndpointKind::Balancer)
            return HistoryEvent { .kind = kind, .process = balancerName(endpoint.index), .role = ProcessRole::Balancer };
        return HistoryEvent {
            .kind = kind,
            .process = agentName(endpoint.index, m_experiment.deployment),
            .role = ProcessRole::Agent,
            .upstream = targetName(endpoint.index, m_experiment.deployment),
        };
    });
}

void Simulation::recordFault(HistoryKind kind, std::size_t target)
{
    m_history.record([&] {
        const std::string name = targetName(target, m_experiment.deployment);
        return HistoryEvent { .kind = kind, .process = name, .role = ProcessRole::Upstream, .upstream = name };
    });
}

void Simulation::recordPlatform(HistoryKind kind)
{
    m_history.record([&] { return HistoryEvent { .kind = kind, .process = "platform", .role = ProcessRole::Platform }; });
}

void Simulation::recordUpstreamStart(std::size_t target)
{
    m_history.record([&] {
        const DeploymentSpec& deployment = m_experiment.deployment;
        return HistoryEvent {
            .kind = HistoryKind::UpstreamStarted,
            .role = ProcessRole::Upstream,
            .service = deployment.services[serviceOf(target, deployment)].name,
            .upstream = targetName(target, deployment),
            .upstreamId = targetId(target),
            .dataCentre = deployment.dataCentres[dataCentreOf(target, deployment)],
        };
    });
}

std::optional<std::size_t> Simulation::targetOf(const OwnerToken& owner) const
{
    for (std::size_t target = 0; target < m_agents.size(); ++target) {
        if (targetId(target) == owner.upstream)
            return target;
    }
    return std::nullopt;
}

BreakCause Simulation::causeOf(const OwnerToken& owner, RefusalReason reason) const
{
    const auto target = targetOf(owner);
    if (!target || m_agents[*target]->token() != owner)
        return BreakCause::OwnerDied;
    if (m_store.config().dataCentreOut[dataCentreOf(*target, m_experiment.deployment)] || reason == RefusalReason::DataCentreOut)
        return BreakCause::DataCentreOut;
    if (m_network.isFrozen({ EndpointKind::Agent, *target }))
        return BreakCause::OwnerFrozen;
    return reason == RefusalReason::FlowSilent ? BreakCause::Silent : BreakCause::Misdirected;
}

bool Simulation::isInService(std::size_t target) const
{
    const bool isDataCentreOut = m_store.config().dataCentreOut[dataCentreOf(target, m_experiment.deployment)];
    const Endpoint agent { EndpointKind::Agent, target };
    return !isDataCentreOut && m_network.isAlive(agent) && !m_network.isFrozen(agent) && m_upstreams[target]->isAlive();
}

double Simulation::currentCapacity() const
{
    double capacity = 0;
    for (std::size_t target = 0; target < m_agents.size(); ++target) {
        const std::size_t service = serviceOf(target, m_experiment.deployment);
        if (isInService(target))
            capacity += std::floor(m_upstreams[target]->bearable()) * millisPerSecond / meanWork(loadOf(service, m_experiment));
    }
    return capacity;
}

void Simulation::sampleSecond()
{
    const Millis at = sinceStart(m_context);
    if (at >= m_experiment.duration)
        return;
    SecondMetrics& row = m_metrics.second(at);
    row.capacity = currentCapacity();
    std::size_t first = 0;
    for (std::size_t service = 0; service < m_experiment.deployment.services.size(); ++service) {
        std::vector<double> flows;
        std::vector<std::size_t> targets;
        for (const std::size_t end = first + m_experiment.deployment.services[service].targets; first < end; ++first) {
            if (!isInService(first) || m_agents[first]->isDraining())
                continue;
            flows.push_back(static_cast<double>(m_agents[first]->openFlows()));
            targets.push_back(first);
        }
        const Imbalance spread = imbalanceOf(flows);
        row.flowImbalance = std::max(row.flowImbalance, spread.maxOverMean);
        m_metrics.flowImbalance.add(spread.maxOverMean);
        m_metrics.flowVariation.add(spread.variation);
        updateReturns(service, flows, targets);
    }
    m_loop.after(second, [this] { sampleSecond(); });
}

void Simulation::updateReturns(std::size_t service, const std::vector<double>& flows, const std::vector<std::size_t>& targets)
{
    double sum = 0;
    for (const double count : flows)
        sum += count;
    const double share = flows.empty() ? 0 : sum / static_cast<double>(flows.size());
    std::erase_if(m_returns, [&](const PendingReturn& watch) {
        if (serviceOf(watch.target, m_experiment.deployment) != service)
            return false;
        const auto position = std::ranges::find(targets, watch.target);
        if (position == targets.end() || flows[static_cast<std::size_t>(position - targets.begin())] * returnShareFactor < share)
            return false;
        m_metrics.returnTime.add(static_cast<double>(m_loop.nowMillis() - watch.since));
        return true;
    });
}

void Simulation::sampleBusy()
{
    if (sinceStart(m_context) >= m_experiment.duration)
        return;
    for (std::size_t target = 0; target < m_agents.size(); ++target) {
        if (!isInService(target))
            continue;
        m_busySum[target] += m_upstreams[target]->running();
        ++m_busySamples[target];
    }
    m_loop.after(busySampleInterval, [this] { sampleBusy(); });
}

}
