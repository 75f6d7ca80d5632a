#pragma once

#include <sstream> // extended_p_square_quantile.hpp uses std::ostringstream without including it.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "base/histogram.h"

#include <cstdint>
#include <map>
#include <string>

namespace lacewing {

/// Label pairs of one time series, for example {{"reason", "rate_limited"}}.
using MetricLabels = std::map<std::string, std::string>;

/// Summary of observed values. Quantiles are estimated in constant memory by the extended P-square algorithm.
class Summary {
public:
    Summary();

    /// Adds one observation.
    void observe(double value) { m_accumulator(value); }

    int64_t count() const;
    double sum() const;
    double maximum() const;
    /// @param probability one of 0.5, 0.95 and 0.99.
    /// @return the estimated quantile, or 0 if there are no observations.
    double quantile(double probability) const;

private:
    using Accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square_quantile>>;
    Accumulator m_accumulator;
};

/// Registry of all metrics of a process, exported in the Prometheus text format.
class MetricsRegistry {
public:
    /// @param name metric name with its unit as suffix, for example "lacewing_refusals_total".
    /// @return the counter, created at 0 on first use. The reference stays valid.
    int64_t& counter(const std::string& name, const MetricLabels& labels = {});

    /// @return the gauge, created at 0 on first use. The reference stays valid.
    double& gauge(const std::string& name, const MetricLabels& labels = {});

    /// @return the summary, created empty on first use. The reference stays valid.
    Summary& summary(const std::string& name, const MetricLabels& labels = {});

    /// @return the histogram of durations in seconds, created empty on first use. Its fixed buckets can be
    ///     aggregated over processes. The reference stays valid.
    Histogram& histogram(const std::string& name, const MetricLabels& labels = {});

    /// @return all metrics in the Prometheus text exposition format 0.0.4, grouped by type and sorted by
    /// name.
    std::string text() const;

private:
    template <typename Value> using Family = std::map<std::string, std::map<std::string, Value>>;

    Family<int64_t> m_counters;
    Family<double> m_gauges;
    Family<Summary> m_summaries;
    Family<Histogram> m_histograms;
};

} // namespace lacewing
