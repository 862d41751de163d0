#include "randomsource.h"

#include <cmath>

namespace kingcuptrail {

namespace {

    /// 2^-53: the distance between two doubles that are made from the top 53 bits.
    constexpr double unit = 1.0 / 9007199254740992.0;
    constexpr unsigned discardedBits = 11;

}

RandomSource::RandomSource(std::uint64_t seed)
    : m_engine(seed)
{
}

std::uint64_t RandomSource::id()
{
    std::uint64_t drawn = m_engine();
    while (drawn == 0)
        drawn = m_engine();
    return drawn;
}

std::size_t RandomSource::below(std::size_t count)
{
    return static_cast<std::size_t>(uniform() * static_cast<double>(count));
}

double RandomSource::uniform()
{
    return static_cast<double>(m_engine() >> discardedBits) * unit;
}

double RandomSource::exponential(double mean)
{
    return -mean * std::log1p(-uniform());
}

}
