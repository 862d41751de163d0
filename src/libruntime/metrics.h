#pragma once

#include "libdecision/enumnames.h"
#include "libdecision/ids.h"

#include <array>
#include <memory>
#include <span>
#include <string>
#include <utility>

namespace kingcuptrail {

/// One counter for each value of an enumeration, such as refusals by reason.
template <typename Enum>
class EnumCounters {
public:
    void increment(Enum value, std::uint64_t by = 1)
    {
        const auto index = static_cast<std::size_t>(value);
        if (index < m_counts.size())
            m_counts[index] += by;
    }

    std::uint64_t count(Enum value) const { return m_counts[static_cast<std::size_t>(value)]; }

    std::uint64_t total() const
    {
        std::uint64_t sum = 0;
        for (const std::uint64_t count : m_counts)
            sum += count;
        return sum;
    }

private:
    std::array<std::uint64_t, EnumNames<Enum>::names.size()> m_counts {};
};

/// Histogram of latencies in milliseconds, with buckets that grow by a constant factor.
class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram&) = delete;
    LatencyHistogram& operator=(const LatencyHistogram&) = delete;

    void record(double millis);
    std::uint64_t count() const;
    /// The upper bound of the bucket that contains the given quantile (0.99 for the 99th percentile); 0 without samples.
    double percentile(double quantile) const;

    /// Appends buckets, sum and count in the Prometheus text exposition format.
    void expose(std::string& out, std::string_view name, std::string_view help) const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

/// Append one metric with its help and type lines.
void exposeCounter(std::string& out, std::string_view name, std::string_view help, std::uint64_t value);
void exposeGauge(std::string& out, std::string_view name, std::string_view help, double value);

/// Appends one gauge with a line for each of `values`, whose first part is the value of `label`.
void exposeGauges(std::string& out, std::string_view name, std::string_view help, std::string_view label, std::span<const std::pair<std::string, double>> values);

/// Appends one line for each value of an enumeration, labelled `reason`.
template <typename Enum>
void exposeCounters(std::string& out, std::string_view name, std::string_view help, const EnumCounters<Enum>& counters)
{
    out.append("# HELP ").append(name).append(" ").append(help).append("\n# TYPE ").append(name).append(" counter\n");
    for (std::size_t index = 0; index < EnumNames<Enum>::names.size(); ++index) {
        out.append(name).append("{reason=\"").append(EnumNames<Enum>::names[index]).append("\"} ");
        out.append(std::to_string(counters.count(static_cast<Enum>(index)))).append("\n");
    }
}

}
