#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace kingcuptrail {

/// The random numbers of one run, which depend on its seed alone.
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed);

    /// A random 64-bit id that isn't 0.
    std::uint64_t id();

    /// A random integer in [0, count); `count` must not be 0.
    std::size_t below(std::size_t count);

    /// A random number in [0, 1).
    double uniform();

    bool chance(double probability) { return uniform() < probability; }

    /// The time until the next event of a Poisson process with this mean interval.
    double exponential(double mean);

private:
    std::mt19937_64 m_engine;
};

}
