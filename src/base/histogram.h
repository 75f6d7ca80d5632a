#pragma once

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdint>
#include <tuple>
#include <vector>

namespace lacewing {

/// Counts durations in seconds by fixed buckets, from a few milliseconds to half a minute. Unlike quantiles,
/// the buckets of several processes can be added up.
class Histogram {
public:
    struct Bucket {
        /// Seconds; observations up to this bound are counted.
        double upperBound = 0;
        int64_t count = 0;
    };

    Histogram();

    /// @param seconds negative values count into the first bucket.
    void observe(double seconds);

    int64_t count() const { return m_count; }
    /// @return seconds of all observations.
    double sum() const { return m_sum; }
    /// @return for each bound, how many observations were no longer; ascending, without the unbounded bucket.
    std::vector<Bucket> cumulativeBuckets() const;

private:
    using Axis = boost::histogram::axis::variable<double, boost::histogram::use_default,
        boost::histogram::axis::option::none_t>;
    using Counts = boost::histogram::dense_storage<int64_t>;

    boost::histogram::histogram<std::tuple<Axis>, Counts> m_buckets;
    int64_t m_count = 0;
    double m_sum = 0;
};

} // namespace lacewing
