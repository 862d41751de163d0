#include "network.h"

#include "experiment.h"
#include "randomsource.h"

namespace kingcuptrail {

namespace {

    /// Upper bounds of the random part of each delay and of the additional delay of a reordered packet, in milliseconds.
    constexpr double jitter = 0.1;
    constexpr double reorderDelay = 20;

    Micros toMicros(double millis)
    {
        return static_cast<Micros>(millis * static_cast<double>(microsPerMilli));
    }

}

Network::Network(const DeploymentSpec& deployment, EventLoop& loop, RandomSource& random)
    : m_deployment(deployment)
    , m_loop(loop)
    , m_random(random)
{
}

void Network::attach(Endpoint endpoint, Receiver receiver)
{
    m_processes[endpoint].receiver = std::move(receiver);
}

void Network::send(Endpoint from, Endpoint to, Message message)
{
    if (!isAlive(from) || isDropped(from, to))
        return;
    const bool isPacket = std::holds_alternative<FlowPacket>(message);
    if (isPacket && m_random.chance(m_faults.loss))
        return;
    if (isPacket && m_random.chance(m_faults.duplication))
        sendOnce(from, to, message);
    sendOnce(from, to, std::move(message));
}

void Network::sendOnce(Endpoint from, Endpoint to, Message message)
{
    Micros wait = delay(from, to) + toMicros(m_random.uniform() * jitter);
    if (std::holds_alternative<FlowPacket>(message) && m_random.chance(m_faults.reorder))
        wait += toMicros(m_random.uniform() * reorderDelay);
    m_loop.after(wait, [this, from, to, generation = m_processes[to].generation, message = std::move(message)]() mutable {
        deliver(from, to, generation, std::move(message));
    });
}

void Network::deliver(Endpoint from, Endpoint to, std::uint64_t generation, Message message)
{
    Process& process = m_processes[to];
    if (!process.alive || process.generation != generation || isDropped(from, to))
        return;
    if (process.frozen)
        process.pendingMessages.emplace_back(from, std::move(message));
    else
        process.receiver(from, std::move(message));
}

void Network::setAlive(Endpoint endpoint, bool alive)
{
    Process& process = m_processes[endpoint];
    if (process.alive && !alive) {
        ++process.generation;
        process.frozen = false;
        process.pendingMessages.clear();
    }
    process.alive = alive;
}

bool Network::isAlive(Endpoint endpoint) const
{
    const auto process = m_processes.find(endpoint);
    return process != m_processes.end() && process->second.alive;
}

void Network::setFrozen(Endpoint endpoint, bool frozen)
{
    Process& process = m_processes[endpoint];
    process.frozen = frozen && process.alive;
    while (!process.frozen && !process.pendingMessages.empty()) {
        auto [from, message] = std::move(process.pendingMessages.front());
        process.pendingMessages.pop_front();
        process.receiver(from, std::move(message));
    }
}

bool Network::isFrozen(Endpoint endpoint) const
{
    const auto process = m_processes.find(endpoint);
    return process != m_processes.end() && process->second.frozen;
}

void Network::setSilent(std::size_t balancer, std::size_t agent, bool silent)
{
    if (silent)
        m_silentLinks.emplace(balancer, agent);
    else
        m_silentLinks.erase({ balancer, agent });
}

bool Network::isSilent(std::size_t balancer, std::size_t agent) const
{
    return m_silentLinks.contains({ balancer, agent });
}

bool Network::isDropped(Endpoint from, Endpoint to) const
{
    if (m_silentLinks.empty())
        return false;
    if (from.kind == EndpointKind::Balancer && to.kind == EndpointKind::Agent)
        return isSilent(from.index, to.index);
    return from.kind == EndpointKind::Agent && to.kind == EndpointKind::Balancer && isSilent(to.index, from.index);
}

Micros Network::delay(Endpoint from, Endpoint to) const
{
    if (from.kind == EndpointKind::Callers || to.kind == EndpointKind::Callers)
        return toMicros(m_deployment.toCallers);
    const bool isSame = dataCentreOf(from.index, m_deployment) == dataCentreOf(to.index, m_deployment);
    return toMicros(isSame ? m_deployment.withinDataCentre : m_deployment.betweenDataCentres);
}

}
