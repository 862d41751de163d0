#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace kingcuptrail {

/// Random numbers of one run, all drawn from its seed.
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed);

    /// Any 64 bits but 0, as an id.
    std::uint64_t id();

    /// A whole number from 0 to below `count`, which must not be 0.
    std::size_t below(std::size_t count);

    /// A number from 0 to below 1.
    double uniform();

    bool chance(double probability) { return uniform() < probability; }

    /// The wait until the next event of a Poisson process with this mean wait.
    double exponential(double mean);

private:
    std::mt19937_64 m_engine;
};

}
