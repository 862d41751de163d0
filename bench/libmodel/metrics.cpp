#include "metrics.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kingcuptrail {

namespace {

    constexpr Millis millisPerSecond = 1000;

}

double Samples::mean() const
{
    if (m_values.empty())
        return 0;
    return std::accumulate(m_values.begin(), m_values.end(), 0.0) / static_cast<double>(m_values.size());
}

double Samples::max() const
{
    return m_values.empty() ? 0 : *std::max_element(m_values.begin(), m_values.end());
}

double Samples::percentile(double part) const
{
    if (m_values.empty())
        return 0;
    std::vector<double> values = m_values;
    const auto position = static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

Imbalance imbalanceOf(const std::vector<double>& values)
{
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    if (sum <= 0)
        return {};
    const double mean = sum / static_cast<double>(values.size());
    double squares = 0;
    for (const double value : values)
        squares += (value - mean) * (value - mean);
    return {
        .maxOverMean = *std::max_element(values.begin(), values.end()) / mean,
        .variation = std::sqrt(squares / static_cast<double>(values.size())) / mean,
    };
}

void Metrics::recordStart(std::uint64_t onceKey)
{
    if (onceKey != 0 && ++startsByKey[onceKey] > 1)
        ++duplicateRuns;
}

void Metrics::recordConcurrency(std::uint32_t running, double bearable, std::uint32_t slots, bool isAnnounced)
{
    // The number of requests that an upstream can serve while it warms up is rounded down to whole requests.
    const double excess = running - std::floor(bearable);
    if (excess <= 0 || bearable >= slots)
        return;
    if (!isAnnounced) {
        ++suddenColdOverruns;
        return;
    }
    ++coldOverruns;
    coldExcess = std::max(coldExcess, excess);
}

SecondMetrics& Metrics::second(Millis sinceStart)
{
    const auto index = static_cast<std::size_t>(std::max<Millis>(0, sinceStart) / millisPerSecond);
    if (index >= seconds.size())
        seconds.resize(index + 1);
    return seconds[index];
}

}
