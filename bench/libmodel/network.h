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

/// One process of the model. All callers together are one.
struct Endpoint {
    EndpointKind kind = EndpointKind::Callers;
    std::size_t index = 0;

    bool operator==(const Endpoint&) const = default;
    bool operator<(const Endpoint& other) const { return std::tie(kind, index) < std::tie(other.kind, other.index); }
};

/// Faults put on every packet of a flow, as probabilities. Other messages travel on a TCP link, which mends them.
struct PacketFaults {
    double loss = 0;
    double duplication = 0;
    double reorder = 0;
    /// Of an answer, to be preceded by one with another request's content.
    double crossedAnswers = 0;
};

/// Carries messages between the processes with their paths' delays, and holds what can go wrong on the way: dead and
/// frozen processes, links that swallow everything, and faults of single packets.
class Network {
public:
    using Receiver = std::function<void(Endpoint from, Message message)>;

    Network(const DeploymentSpec& deployment, EventLoop& loop, RandomSource& random);

    void attach(Endpoint endpoint, Receiver receiver);

    void send(Endpoint from, Endpoint to, Message message);

    /// A dead process gets nothing; one that was started again gets nothing that was sent before.
    void setAlive(Endpoint endpoint, bool alive);
    bool isAlive(Endpoint endpoint) const;

    /// A frozen process finds what arrived in the meantime when it goes on.
    void setFrozen(Endpoint endpoint, bool frozen);
    bool isFrozen(Endpoint endpoint) const;

    /// A silent link swallows every message of its present connection, in both directions.
    void setSilent(std::size_t balancer, std::size_t agent, bool silent);
    bool isSilent(std::size_t balancer, std::size_t agent) const;

    PacketFaults& faults() { return m_faults; }

    double crossedAnswers() const { return m_faults.crossedAnswers; }

    /// One way, without the random part.
    Micros delay(Endpoint from, Endpoint to) const;

private:
    struct Process {
        Receiver receiver;
        bool alive = true;
        bool frozen = false;
        std::uint64_t life = 0;
        std::deque<std::pair<Endpoint, Message>> waiting;
    };

    bool isSwallowed(Endpoint from, Endpoint to) const;
    void sendOnce(Endpoint from, Endpoint to, Message message);
    void deliver(Endpoint from, Endpoint to, std::uint64_t life, Message message);

    const DeploymentSpec& m_deployment;
    EventLoop& m_loop;
    RandomSource& m_random;
    std::map<Endpoint, Process> m_processes;
    std::set<std::pair<std::size_t, std::size_t>> m_silentLinks;
    PacketFaults m_faults;
};

}
