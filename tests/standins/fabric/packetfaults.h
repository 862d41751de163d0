#pragma once

#include "libdecision/ids.h"

#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

namespace kingcuptrail {

/// Faults that the fabric injects. Rates are fractions from 0 to 1, times are milliseconds.
struct FaultOptions {
    double duplicate = 0;
    double drop = 0;
    /// Maximum random delay of each packet; it also reorders packets.
    Millis delay = 0;
    /// All packets of flows seen so far are dropped, while new flows work.
    bool loseSeenFlows = false;
    /// Indexes of balancers on the command line, from 0. Their links stay up but drop every byte.
    std::vector<std::size_t> silentBalancers;
};

/// Parses the body of POST /faults; nothing when it is malformed.
std::optional<FaultOptions> parseFaults(const std::string& json);

/// Decides which packets are dropped, duplicated and delayed; the same seed gives the same decisions.
class PacketFaults {
public:
    explicit PacketFaults(std::uint64_t seed);

    void apply(const FaultOptions& options);

    /// The delay of each copy of the next packet of this flow, in milliseconds; empty when the packet is dropped.
    std::vector<Millis> copyDelays(FlowId flow);

    bool isSilent(std::size_t balancer) const;
    std::size_t pickIndex(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random); }

private:
    bool occurs(double rate) { return rate > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < rate; }
    Millis randomDelay() { return m_options.delay > 0 ? std::uniform_int_distribution<Millis>(0, m_options.delay)(m_random) : 0; }

    FaultOptions m_options;
    std::mt19937_64 m_random;
    std::unordered_set<FlowId> m_seenFlows;
    std::unordered_set<FlowId> m_droppedFlows;
};

}
