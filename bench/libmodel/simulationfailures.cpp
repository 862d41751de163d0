#include "simulation.h"

namespace kingcuptrail {

namespace {

    /// Time for which the fabric continues to send packets to a balancer that terminated, and to one that is frozen.
    constexpr Micros killDetectionDelay = 20 * microsPerMilli;
    constexpr Micros silenceDetectionDelay = 1000 * microsPerMilli;
    constexpr Micros operatorRetryDelay = 500 * microsPerMilli;
    constexpr Micros hostRestartTime = 500 * microsPerMilli;

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
        recordFault(HistoryKind::FaultBegan, failure.target);
        return upstream.kill();
    case FailureKind::UpstreamCold:
        recordFault(HistoryKind::FaultBegan, failure.target);
        recordFault(HistoryKind::FaultEnded, failure.target);
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
        // Two operators read the same version and take different data centres out of service; the second write conflicts.
        const ConfigVersion seen = m_store.config().version;
        applyChange(seen, failure.target, true);
        return applyChange(seen, (failure.target + 1) % m_experiment.deployment.dataCentres.size(), true);
    }
    default:
        return applyDataCentreState(failure.target, failure.kind == FailureKind::DataCentreOut);
    }
}

void Simulation::beginStoreFailure(const FailureSpec& failure)
{
    if (failure.kind == FailureKind::StoreDown) {
        recordPlatform(HistoryKind::FaultBegan);
        m_store.setAvailable(false);
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
        recordFault(HistoryKind::FaultEnded, failure.target);
        if (!m_upstreams[failure.target]->isAlive())
            m_upstreams[failure.target]->restart();
        return;
    case FailureKind::UpstreamSlow:
        return m_upstreams[failure.target]->setSlowness(1);
    case FailureKind::UpstreamShed:
        return m_upstreams[failure.target]->setShedding(false);
    case FailureKind::DataCentreOut:
        return applyDataCentreState(failure.target, false);
    case FailureKind::OperatorRace:
        applyDataCentreState(failure.target, false);
        return applyDataCentreState((failure.target + 1) % m_experiment.deployment.dataCentres.size(), false);
    case FailureKind::StoreDown:
        recordPlatform(HistoryKind::FaultEnded);
        return m_store.setAvailable(true);
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
    m_loop.after(killDetectionDelay, [this, balancer] { m_callers->setReachable(balancer, m_network.isAlive({ EndpointKind::Balancer, balancer })); });
    m_loop.after(connectionResetDelay, [this, balancer] {
        for (const auto& agent : m_agents)
            agent->handleLinkLoss(balancer);
    });
}

void Simulation::startBalancer(std::size_t balancer)
{
    if (m_network.isAlive({ EndpointKind::Balancer, balancer }))
        return;
    m_balancers[balancer]->start();
    m_loop.after(silenceDetectionDelay, [this, balancer] { m_callers->setReachable(balancer, m_network.isAlive({ EndpointKind::Balancer, balancer })); });
}

void Simulation::freeze(Endpoint endpoint, bool frozen)
{
    if (!m_network.isAlive(endpoint))
        return;
    m_network.setFrozen(endpoint, frozen);
    recordProcess(frozen ? HistoryKind::ProcessFrozen : HistoryKind::ProcessContinued, endpoint);
    if (endpoint.kind == EndpointKind::Balancer) {
        const std::size_t balancer = endpoint.index;
        m_loop.after(silenceDetectionDelay, [this, balancer, frozen, endpoint] { m_callers->setReachable(balancer, !frozen && m_network.isAlive(endpoint)); });
    }
}

void Simulation::killAgent(std::size_t agent)
{
    if (!m_network.isAlive({ EndpointKind::Agent, agent }))
        return;
    recordProcess(HistoryKind::ProcessKilled, { EndpointKind::Agent, agent });
    m_agents[agent]->kill();
    m_loop.after(connectionResetDelay, [this, agent] {
        for (const auto& balancer : m_balancers)
            balancer->handleLinkLoss(agent);
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
    m_loop.after(connectionResetDelay, [this, agent] {
        for (const auto& balancer : m_balancers)
            balancer->handleLinkLoss(agent);
    });
    m_upstreams[agent]->kill();
    m_loop.after(hostRestartTime, [this, agent] {
        m_upstreams[agent]->restart();
        startAgent(agent);
    });
}

void Simulation::drain(std::size_t agent, bool mayExit)
{
    if (!m_network.isAlive({ EndpointKind::Agent, agent }))
        return;
    recordProcess(HistoryKind::DrainBegan, { EndpointKind::Agent, agent });
    if (mayExit)
        recordProcess(HistoryKind::ShutdownBegan, { EndpointKind::Agent, agent });
    m_agents[agent]->onExit = [this, agent] { restartHost(agent); };
    m_agents[agent]->drain(mayExit);
}

void Simulation::applyDataCentreState(std::size_t dataCentre, bool out)
{
    if (m_store.config().dataCentreOut[dataCentre] != out)
        applyChange(m_store.config().version, dataCentre, out);
}

/// Applies a change as the operators' tool does: after a lost answer or a conflict it reads the current configuration and
/// tries again on that basis.
void Simulation::applyChange(ConfigVersion baseVersion, std::size_t dataCentre, bool out)
{
    m_store.apply(baseVersion, dataCentre, out, [this, dataCentre, out](ApplyResult result) {
        if (result == ApplyResult::Accepted && !out) {
            for (std::size_t target = 0; target < m_agents.size(); ++target) {
                if (dataCentreOf(target, m_experiment.deployment) == dataCentre)
                    m_returns.push_back({ target, m_loop.nowMillis() });
            }
        }
        if (result != ApplyResult::Accepted)
            m_loop.after(operatorRetryDelay, [this, dataCentre, out] { applyDataCentreState(dataCentre, out); });
    });
    // Hosts of a data centre that is out of service are replaced or rebooted meanwhile, so their upstreams return cold.
    if (!out) {
        for (std::size_t target = 0; target < m_agents.size(); ++target) {
            const bool isHere = dataCentreOf(target, m_experiment.deployment) == dataCentre;
            if (!isHere || !m_upstreams[target]->isAlive() || !m_agents[target]->isDataCentreOut())
                continue;
            m_upstreams[target]->restart();
        }
    }
}

}
