#pragma once

#include "message.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace kingcuptrail {

class RandomSource;
struct DeploymentSpec;

enum class EndpointKind : std::uint8_t {
    Callers,
    Balancer,
    Agent,
};

/// A process of the model. All callers together are one endpoint.
struct Endpoint {
    EndpointKind kind = EndpointKind::Callers;
    std::size_t index = 0;

    bool operator==(const Endpoint&) const = default;
    bool operator<(const Endpoint& other) const { return std::tie(kind, index) < std::tie(other.kind, other.index); }
};

/// Probabilities of faults, applied to every packet of a flow. Other messages use a TCP link, which recovers from them.
struct PacketFaults {
    double loss = 0;
    double duplication = 0;
    double reorder = 0;
    /// Probability that an answer is preceded by one with the content of another request.
    double crossedAnswers = 0;
};

/// Delivers messages between the processes with the delay of their path, and models failures: terminated and frozen
/// processes, links that drop all messages, and faults of single packets.
class Network {
public:
    using Receiver = std::function<void(Endpoint from, Message message)>;

    Network(const DeploymentSpec& deployment, EventLoop& loop, RandomSource& random);

    void attach(Endpoint endpoint, Receiver receiver);

    void send(Endpoint from, Endpoint to, Message message);

    /// A terminated process receives nothing. After a restart it receives nothing that was sent before.
    void setAlive(Endpoint endpoint, bool alive);
    bool isAlive(Endpoint endpoint) const;

    /// A frozen process receives the messages that arrived in the meantime when it continues.
    void setFrozen(Endpoint endpoint, bool frozen);
    bool isFrozen(Endpoint endpoint) const;

    /// A silent link drops every message of its current connection, in both directions.
    void setSilent(std::size_t balancer, std::size_t agent, bool silent);
    bool isSilent(std::size_t balancer, std::size_t agent) const;

    PacketFaults& faults() { return m_faults; }

    double crossedAnswers() const { return m_faults.crossedAnswers; }

    /// The one-way delay without its random part.
    Micros delay(Endpoint from, Endpoint to) const;

private:
    struct Process {
        Receiver receiver;
        bool alive = true;
        bool frozen = false;
        std::uint64_t generation = 0;
        std::deque<std::pair<Endpoint, Message>> pendingMessages;
    };

    bool isDropped(Endpoint from, Endpoint to) const;
    void sendOnce(Endpoint from, Endpoint to, Message message);
    void deliver(Endpoint from, Endpoint to, std::uint64_t generation, Message message);

    const DeploymentSpec& m_deployment;
    EventLoop& m_loop;
    RandomSource& m_random;
    std::map<Endpoint, Process> m_processes;
    std::set<std::pair<std::size_t, std::size_t>> m_silentLinks;
    PacketFaults m_faults;
};

}
