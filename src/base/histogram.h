#pragma once

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdint>
#include <tuple>
#include <vector>

namespace lacewing {

/// Histogram of durations in seconds with fixed buckets from 5 milliseconds to 30 seconds. Unlike quantiles,
/// buckets can be aggregated over processes.
class Histogram {
public:
    struct Bucket {
        /// Inclusive upper bound in seconds.
        double upperBound = 0;
        /// Number of observations up to the upper bound.
        int64_t count = 0;
    };

    Histogram();

    /// @param seconds the duration to record; negative values are counted in the first bucket.
    void observe(double seconds);

    int64_t count() const { return m_count; }
    /// @return the sum of all observations in seconds.
    double sum() const { return m_sum; }
    /// @return the cumulative buckets in ascending order, without the +Inf bucket.
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
