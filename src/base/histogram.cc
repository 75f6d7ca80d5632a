#include "base/histogram.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lacewing {

namespace {

/// Bucket bounds in seconds.
constexpr std::array<double, 15> bounds { 0, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.5, 0.8, 1.5, 3, 6,
    15, 30 };

} // namespace

Histogram::Histogram()
    : m_buckets(std::make_tuple(Axis(bounds)))
{
}

void Histogram::observe(double seconds)
{
    ++m_count;
    m_sum += seconds;
    // The library's intervals include their lower bound, those of the Prometheus format their upper bound.
    m_buckets(std::max(0.0, std::nextafter(seconds, 0.0)));
}

std::vector<Histogram::Bucket> Histogram::cumulativeBuckets() const
{
    std::vector<Bucket> buckets;
    int64_t total = 0;
    for (int index = 0; index < m_buckets.axis().size(); ++index) {
        total += m_buckets.at(index);
        buckets.push_back({ m_buckets.axis().bin(index).upper(), total });
    }
    return buckets;
}

} // namespace lacewing
