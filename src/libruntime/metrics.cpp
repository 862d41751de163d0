#include "metrics.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdio>

namespace kingcuptrail {

namespace {

    /// Range from 50 microseconds to 10 minutes in steps of about 11 %, which bounds the error of a percentile.
    constexpr double minMillis = 0.05;
    constexpr double maxMillis = 600000;
    constexpr int bucketCount = 160;
    /// Only every eighth bound is exposed, so that a histogram has 20 series instead of 160.
    constexpr int bucketsPerExposed = 8;

    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

    std::string formatNumber(double value)
    {
        std::array<char, 32> text {};
        const int length = std::snprintf(text.data(), text.size(), "%.6g", value);
        return { text.data(), static_cast<std::size_t>(length) };
    }

    void appendHeader(std::string& out, std::string_view name, std::string_view help, std::string_view type)
    {
        out.append("# HELP ").append(name).append(" ").append(help);
        out.append("\n# TYPE ").append(name).append(" ").append(type).append("\n");
    }

    /// Escapes what the exposition format does not allow in the value of a label.
    void appendLabelValue(std::string& out, std::string_view text)
    {
        for (const char character : text) {
            if (character == '\\' || character == '"')
                out.push_back('\\');
            out.append(character == '\n' ? std::string_view("\\n") : std::string_view(&character, 1));
        }
    }

}

struct LatencyHistogram::Private {
    std::uint64_t countAt(int bucket) const { return histogram.at(bucket); }
    /// The upper bound of a bucket; for the overflow bucket, the largest sample.
    double upperBound(int bucket) const { return bucket < bucketCount ? histogram.axis().value(bucket + 1) : largest; }

    Histogram histogram = boost::histogram::make_histogram_with(
        boost::histogram::dense_storage<std::uint64_t>(), Axis(bucketCount, minMillis, maxMillis));
    std::uint64_t count = 0;
    double sum = 0;
    double largest = 0;
};

LatencyHistogram::LatencyHistogram()
    : m_d(std::make_unique<Private>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(double millis)
{
    if (!std::isfinite(millis) || millis < 0)
        return;
    // 0 has no logarithm and so no bucket; such samples go to the underflow bucket.
    m_d->histogram(std::max(millis, minMillis / 2));
    ++m_d->count;
    m_d->sum += millis;
    m_d->largest = std::max(m_d->largest, millis);
}

std::uint64_t LatencyHistogram::count() const
{
    return m_d->count;
}

double LatencyHistogram::percentile(double quantile) const
{
    if (m_d->count == 0)
        return 0;
    const double wanted = std::ceil(std::clamp(quantile, 0.0, 1.0) * static_cast<double>(m_d->count));
    const auto rank = std::max<std::uint64_t>(static_cast<std::uint64_t>(wanted), 1);
    std::uint64_t seen = 0;
    for (int bucket = -1; bucket < bucketCount; ++bucket) {
        seen += m_d->countAt(bucket);
        if (seen >= rank)
            return m_d->upperBound(bucket);
    }
    return m_d->largest;
}

void LatencyHistogram::expose(std::string& out, std::string_view name, std::string_view help) const
{
    appendHeader(out, name, help, "histogram");
    std::uint64_t cumulative = m_d->countAt(-1);
    for (int bucket = 0; bucket < bucketCount; ++bucket) {
        cumulative += m_d->countAt(bucket);
        if ((bucket + 1) % bucketsPerExposed != 0)
            continue;
        out.append(name).append("_bucket{le=\"").append(formatNumber(m_d->upperBound(bucket))).append("\"} ");
        out.append(std::to_string(cumulative)).append("\n");
    }
    out.append(name).append("_bucket{le=\"+Inf\"} ").append(std::to_string(m_d->count)).append("\n");
    out.append(name).append("_sum ").append(formatNumber(m_d->sum)).append("\n");
    out.append(name).append("_count ").append(std::to_string(m_d->count)).append("\n");
}

void exposeCounter(std::string& out, std::string_view name, std::string_view help, std::uint64_t value)
{
    appendHeader(out, name, help, "counter");
    out.append(name).append(" ").append(std::to_string(value)).append("\n");
}

void exposeGauge(std::string& out, std::string_view name, std::string_view help, double value)
{
    appendHeader(out, name, help, "gauge");
    out.append(name).append(" ").append(formatNumber(value)).append("\n");
}

void exposeGauges(std::string& out, std::string_view name, std::string_view help, std::string_view label, std::span<const std::pair<std::string, double>> values)
{
    appendHeader(out, name, help, "gauge");
    for (const auto& [text, value] : values) {
        out.append(name).append("{").append(label).append("=\"");
        appendLabelValue(out, text);
        out.append("\"} ").append(formatNumber(value)).append("\n");
    }
}

}
