#pragma once

#include "libdecision/ids.h"

#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

namespace kingcuptrail {

/// What the fabric does wrong on purpose. Rates are parts of one, times milliseconds.
struct FaultOptions {
    double duplicate = 0;
    double drop = 0;
    /// Each packet waits a random time up to this, which also reorders.
    Millis delay = 0;
    /// Flows seen so far lose every packet from now on, while new ones work.
    bool loseSeenFlows = false;
    /// Balancers, by their place on the command line, whose links stay up and swallow every byte.
    std::vector<std::size_t> silentBalancers;
};

/// Reads the body of POST /faults; nothing when it is not understood.
std::optional<FaultOptions> parseFaults(const std::string& json);

/// Decides the fate of each packet; the seed reproduces the decisions.
class PacketFaults {
public:
    explicit PacketFaults(std::uint64_t seed);

    void apply(const FaultOptions& options);

    /// How long each copy of a packet of this flow waits, in milliseconds; empty when it is lost.
    std::vector<Millis> copies(FlowId flow);

    bool isSilent(std::size_t balancer) const;
    std::size_t pick(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random); }

private:
    bool happens(double rate) { return rate > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < rate; }
    Millis wait() { return m_options.delay > 0 ? std::uniform_int_distribution<Millis>(0, m_options.delay)(m_random) : 0; }

    FaultOptions m_options;
    std::mt19937_64 m_random;
    std::unordered_set<FlowId> m_seen;
    std::unordered_set<FlowId> m_lost;
};

}
