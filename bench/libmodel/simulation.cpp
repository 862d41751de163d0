#include "simulation.h"

#include <algorithm>
#include <cmath>

namespace kingcuptrail {

namespace {

    /// How long the fabric goes on handing packets to a balancer that died, and to one that stands still.
    constexpr Micros fabricSeesDeath = 20 * microsPerMilli;
    constexpr Micros fabricSeesSilence = 1000 * microsPerMilli;
    /// From a process's death until its peers' connections break.
    constexpr Micros resetArrives = 2 * microsPerMilli;
    constexpr Micros busySampleInterval = 100 * microsPerMilli;
    constexpr Micros second = 1000 * microsPerMilli;
    constexpr Micros operatorRetry = 500 * microsPerMilli;
    /// A returned target has come back when it holds its share of flows within this factor.
    constexpr double returnFactor = 1.25;
    constexpr double millisPerSecond = 1000;
    constexpr Micros hostRestart = 500 * microsPerMilli;

}

Simulation::Simulation(const ExperimentSpec& experiment, const PolicyOptions& policy, bool keepHistory)
    : m_experiment(experiment)
    , m_policy(policy)
    , m_random(experiment.seed)
    , m_network(m_experiment.deployment, m_loop, m_random)
    , m_history(m_loop, keepHistory)
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
        m_upstreams.push_back(std::make_unique<ModelUpstream>(m_loop, ModelUpstreamOptions { .slots = service.slots, .coldFor = service.coldFor, .fallOverFactor = service.fallOverFactor }));
        m_agents.push_back(std::make_unique<ModelAgent>(m_context, m_store, *m_upstreams.back(), target));
        m_agents.back()->onLinkGivenUp = [this, target](std::size_t balancer) {
            m_loop.after(resetArrives, [this, target, balancer] { m_balancers[balancer]->loseLink(target); });
        };
    }
    for (std::size_t balancer = 0; balancer < deployment.balancers; ++balancer)
        m_balancers.push_back(std::make_unique<ModelBalancer>(m_context, m_store, balancer));
    m_callers = std::make_unique<ModelCallers>(m_context, [this](const OwnerToken& owner, RefusalReason reason) { return causeOf(owner, reason); });
    m_busySum.resize(targets);
    m_busySamples.resize(targets);
}

/// Begins with all targets announced and warm.
void Simulation::settle()
{
    std::vector<TargetRecord> records;
    for (std::size_t target = 0; target < m_agents.size(); ++target) {
        const OwnerToken token { .upstream = targetId(target), .incarnation = 1 };
        records.push_back({ .token = token, .announced = true });
        m_upstreams[target]->startWarm();
        noteUpstreamStart(target);
        m_agents[target]->startSettled(token);
    }
    m_store.seed(std::move(records));
    for (const auto& balancer : m_balancers)
        balancer->start();
}

void Simulation::run()
{
    settle();
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
    m_callers->stopOffering();
    // What was offered last still has its deadline to end in.
    m_loop.runUntil(measured + 5 * second);
    for (const auto& upstream : m_upstreams)
        m_metrics.falls += upstream->falls();
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

void Simulation::schedule(const FailureSpec& failure)
{
    const Micros at = toMicros(m_experiment.warmUp + failure.at);
    m_loop.at(at, [this, failure] { begin(failure); });
    if (failure.duration > 0)
        m_loop.at(at + toMicros(failure.duration), [this, failure] { end(failure); });
}

void Simulation::begin(const FailureSpec& failure)
{
    switch (failure.kind) {
    case FailureKind::BalancerKill:
    case FailureKind::BalancerFreeze:
    case FailureKind::BalancerJoin:
    case FailureKind::AgentKill:
    case FailureKind::AgentFreeze:
    case FailureKind::LinkSilent:
        return beginProcessFailure(failure);
    case FailureKind::UpstreamKill:
    case FailureKind::UpstreamCold:
    case FailureKind::UpstreamSlow:
    case FailureKind::UpstreamShed:
        return beginUpstreamFailure(failure);
    case FailureKind::Drain:
    case FailureKind::Return:
    case FailureKind::Restart:
    case FailureKind::DataCentreOut:
    case FailureKind::DataCentreBack:
    case FailureKind::OperatorRace:
        return beginChange(failure);
    case FailureKind::StoreDown:
    case FailureKind::StoreSlow:
    case FailureKind::StoreLosesAnswers:
        return beginStoreFailure(failure);
    case FailureKind::LoadFactor:
        return m_callers->setLoadFactor(failure.value);
    default:
        return beginPacketFault(failure, failure.value);
    }
}

void Simulation::beginProcessFailure(const FailureSpec& failure)
{
    switch (failure.kind) {
    case FailureKind::BalancerKill:
        return killBalancer(failure.target);
    case FailureKind::BalancerFreeze:
        return freeze({ EndpointKind::Balancer, failure.target }, true);
    case FailureKind::BalancerJoin:
        return startBalancer(failure.target);
    case FailureKind::AgentKill:
        return killAgent(failure.target);
    case FailureKind::AgentFreeze:
        return freeze({ EndpointKind::Agent, failure.target }, true);
    default:
        return m_network.setSilent(failure.target, failure.peer, true);
    }
}

void Simulation::beginUpstreamFailure(const FailureSpec& failure)
{
    ModelUpstream& upstream = *m_upstreams[failure.target];
    switch (failure.kind) {
    case FailureKind::UpstreamKill:
        noteFault(HistoryKind::FaultBegan, failure.target);
        return upstream.kill();
    case FailureKind::UpstreamCold:
        noteFault(HistoryKind::FaultBegan, failure.target);
        noteFault(HistoryKind::FaultEnded, failure.target);
        return upstream.turnCold();
    case FailureKind::UpstreamSlow:
        return upstream.setSlowness(failure.value);
    default:
        return upstream.setShedding(true);
    }
}

void Simulation::beginChange(const FailureSpec& failure)
{
    switch (failure.kind) {
    case FailureKind::Drain:
        return drain(failure.target, false);
    case FailureKind::Return:
        if (m_network.isAlive({ EndpointKind::Agent, failure.target })) {
            m_agents[failure.target]->revokeDrain();
            m_returns.push_back({ failure.target, m_loop.nowMillis() });
        }
        return;
    case FailureKind::Restart:
        return drain(failure.target, true);
    case FailureKind::OperatorRace: {
        // Two operators read the same version, and each wants another data centre out; one of them loses.
        const ConfigVersion seen = m_store.config().version;
        applyNow(seen, failure.target, true);
        return applyNow(seen, (failure.target + 1) % m_experiment.deployment.dataCentres.size(), true);
    }
    default:
        return applyOperator(failure.target, failure.kind == FailureKind::DataCentreOut);
    }
}

void Simulation::beginStoreFailure(const FailureSpec& failure)
{
    if (failure.kind == FailureKind::StoreDown) {
        notePlatform(HistoryKind::FaultBegan);
        m_store.setUp(false);
    } else if (failure.kind == FailureKind::StoreSlow)
        m_store.setSlowness(failure.target, failure.value);
    else
        m_store.setLosesAnswers(true);
}

void Simulation::beginPacketFault(const FailureSpec& failure, double value)
{
    PacketFaults& faults = m_network.faults();
    switch (failure.kind) {
    case FailureKind::PacketLoss:
        faults.loss = value;
        return;
    case FailureKind::PacketDuplication:
        faults.duplication = value;
        return;
    case FailureKind::PacketReorder:
        faults.reorder = value;
        return;
    case FailureKind::CrossedAnswers:
        faults.crossedAnswers = value;
        return;
    default:
        return m_callers->setStrayShare(value);
    }
}

void Simulation::end(const FailureSpec& failure)
{
    switch (failure.kind) {
    case FailureKind::BalancerKill:
        return startBalancer(failure.target);
    case FailureKind::BalancerFreeze:
        return freeze({ EndpointKind::Balancer, failure.target }, false);
    case FailureKind::AgentKill:
        return startAgent(failure.target);
    case FailureKind::AgentFreeze:
        return freeze({ EndpointKind::Agent, failure.target }, false);
    case FailureKind::LinkSilent:
        return m_network.setSilent(failure.target, failure.peer, false);
    case FailureKind::UpstreamKill:
        noteFault(HistoryKind::FaultEnded, failure.target);
        if (!m_upstreams[failure.target]->isAlive())
            m_upstreams[failure.target]->restart();
        return;
    case FailureKind::UpstreamSlow:
        return m_upstreams[failure.target]->setSlowness(1);
    case FailureKind::UpstreamShed:
        return m_upstreams[failure.target]->setShedding(false);
    case FailureKind::DataCentreOut:
        return applyOperator(failure.target, false);
    case FailureKind::OperatorRace:
        applyOperator(failure.target, false);
        return applyOperator((failure.target + 1) % m_experiment.deployment.dataCentres.size(), false);
    case FailureKind::StoreDown:
        notePlatform(HistoryKind::FaultEnded);
        return m_store.setUp(true);
    case FailureKind::StoreSlow:
        return m_store.setSlowness(failure.target, 1);
    case FailureKind::StoreLosesAnswers:
        return m_store.setLosesAnswers(false);
    case FailureKind::LoadFactor:
        return m_callers->setLoadFactor(1);
    case FailureKind::Drain:
        return beginChange({ .kind = FailureKind::Return, .target = failure.target });
    default:
        return beginPacketFault(failure, 0);
    }
}

void Simulation::killBalancer(std::size_t balancer)
{
    if (!m_network.isAlive({ EndpointKind::Balancer, balancer }))
        return;
    m_balancers[balancer]->kill();
    m_loop.after(fabricSeesDeath, [this, balancer] { m_callers->setReachable(balancer, m_network.isAlive({ EndpointKind::Balancer, balancer })); });
    m_loop.after(resetArrives, [this, balancer] {
        for (const auto& agent : m_agents)
            agent->loseLink(balancer);
    });
}

void Simulation::startBalancer(std::size_t balancer)
{
    if (m_network.isAlive({ EndpointKind::Balancer, balancer }))
        return;
    m_balancers[balancer]->start();
    m_loop.after(fabricSeesSilence, [this, balancer] { m_callers->setReachable(balancer, m_network.isAlive({ EndpointKind::Balancer, balancer })); });
}

void Simulation::freeze(Endpoint endpoint, bool frozen)
{
    if (!m_network.isAlive(endpoint))
        return;
    m_network.setFrozen(endpoint, frozen);
    noteProcess(frozen ? HistoryKind::ProcessFrozen : HistoryKind::ProcessContinued, endpoint);
    if (endpoint.kind == EndpointKind::Balancer) {
        const std::size_t balancer = endpoint.index;
        m_loop.after(fabricSeesSilence, [this, balancer, frozen, endpoint] { m_callers->setReachable(balancer, !frozen && m_network.isAlive(endpoint)); });
    }
}

void Simulation::killAgent(std::size_t agent)
{
    if (!m_network.isAlive({ EndpointKind::Agent, agent }))
        return;
    noteProcess(HistoryKind::ProcessKilled, { EndpointKind::Agent, agent });
    m_agents[agent]->kill();
    m_loop.after(resetArrives, [this, agent] {
        for (const auto& balancer : m_balancers)
            balancer->loseLink(agent);
    });
}

void Simulation::startAgent(std::size_t agent)
{
    if (m_network.isAlive({ EndpointKind::Agent, agent }))
        return;
    m_agents[agent]->start();
    m_returns.push_back({ agent, m_loop.nowMillis() });
}

void Simulation::restartHost(std::size_t agent)
{
    m_loop.after(resetArrives, [this, agent] {
        for (const auto& balancer : m_balancers)
            balancer->loseLink(agent);
    });
    m_upstreams[agent]->kill();
    m_loop.after(hostRestart, [this, agent] {
        m_upstreams[agent]->restart();
        startAgent(agent);
    });
}

void Simulation::drain(std::size_t agent, bool mayExit)
{
    if (!m_network.isAlive({ EndpointKind::Agent, agent }))
        return;
    noteProcess(HistoryKind::DrainBegan, { EndpointKind::Agent, agent });
    if (mayExit)
        noteProcess(HistoryKind::ShutdownBegan, { EndpointKind::Agent, agent });
    m_agents[agent]->onExit = [this, agent] { restartHost(agent); };
    m_agents[agent]->drain(mayExit);
}

void Simulation::applyOperator(std::size_t dataCentre, bool out)
{
    if (m_store.config().dataCentreOut[dataCentre] != out)
        applyNow(m_store.config().version, dataCentre, out);
}

/// Applies like the operators' tool does: reads back after a lost answer, and bases itself on what it lost to.
void Simulation::applyNow(ConfigVersion basedOn, std::size_t dataCentre, bool out)
{
    m_store.apply(basedOn, dataCentre, out, [this, dataCentre, out](ApplyResult result) {
        if (result == ApplyResult::Accepted && !out) {
            for (std::size_t target = 0; target < m_agents.size(); ++target) {
                if (dataCentreOf(target, m_experiment.deployment) == dataCentre)
                    m_returns.push_back({ target, m_loop.nowMillis() });
            }
        }
        if (result != ApplyResult::Accepted)
            m_loop.after(operatorRetry, [this, dataCentre, out] { applyOperator(dataCentre, out); });
    });
    // Hosts of a data centre that is out are replaced or rebooted meanwhile: their upstreams come back cold.
    if (!out) {
        for (std::size_t target = 0; target < m_agents.size(); ++target) {
            const bool isHere = dataCentreOf(target, m_experiment.deployment) == dataCentre;
            if (!isHere || !m_upstreams[target]->isAlive() || !m_agents[target]->isOut())
                continue;
            m_upstreams[target]->restart();
        }
    }
}

void Simulation::noteProcess(HistoryKind kind, Endpoint endpoint)
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

void Simulation::noteFault(HistoryKind kind, std::size_t target)
{
    m_history.record([&] {
        const std::string name = targetName(target, m_experiment.deployment);
        return HistoryEvent { .kind = kind, .process = name, .role = ProcessRole::Upstream, .upstream = name };
    });
}

void Simulation::notePlatform(HistoryKind kind)
{
    m_history.record([&] { return HistoryEvent { .kind = kind, .process = "platform", .role = ProcessRole::Platform }; });
}

void Simulation::noteUpstreamStart(std::size_t target)
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
    const bool isOut = m_store.config().dataCentreOut[dataCentreOf(target, m_experiment.deployment)];
    const Endpoint agent { EndpointKind::Agent, target };
    return !isOut && m_network.isAlive(agent) && !m_network.isFrozen(agent) && m_upstreams[target]->isAlive();
}

double Simulation::capacityNow() const
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
    SecondOfService& row = m_metrics.second(at);
    row.capacity = capacityNow();
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
        watchReturns(service, flows, targets);
    }
    m_loop.after(second, [this] { sampleSecond(); });
}

void Simulation::watchReturns(std::size_t service, const std::vector<double>& flows, const std::vector<std::size_t>& targets)
{
    double sum = 0;
    for (const double count : flows)
        sum += count;
    const double share = flows.empty() ? 0 : sum / static_cast<double>(flows.size());
    std::erase_if(m_returns, [&](const ReturnWatch& watch) {
        if (serviceOf(watch.target, m_experiment.deployment) != service)
            return false;
        const auto position = std::ranges::find(targets, watch.target);
        if (position == targets.end() || flows[static_cast<std::size_t>(position - targets.begin())] * returnFactor < share)
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
