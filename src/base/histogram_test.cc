#include "base/histogram.h"
#include "base/metrics.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(HistogramTest)

namespace {

int64_t countUpTo(const Histogram& histogram, double bound)
{
    for (const Histogram::Bucket& bucket : histogram.cumulativeBuckets()) {
        if (bucket.upperBound == bound)
            return bucket.count;
    }
    return -1;
}

} // namespace

// Guards against observations equal to a bound that are counted in the next bucket, and against buckets that
// are not cumulative.
BOOST_AUTO_TEST_CASE(BucketsAreCumulativeAndIncludeTheirBound)
{
    Histogram histogram;
    for (const double seconds : { 0.0, 0.005, 0.0051, 0.8, 0.8001, 29.0, 31.0, 1e9, -1.0 })
        histogram.observe(seconds);
    BOOST_TEST(countUpTo(histogram, 0.005) == 3);
    BOOST_TEST(countUpTo(histogram, 0.01) == 4);
    BOOST_TEST(countUpTo(histogram, 0.8) == 5);
    BOOST_TEST(countUpTo(histogram, 1.5) == 6);
    BOOST_TEST(countUpTo(histogram, 30) == 7);
    BOOST_TEST(histogram.count() == 9);
}

// Guards against metrics output whose buckets lack labels or the +Inf bucket.
BOOST_AUTO_TEST_CASE(IsWrittenInTheTextFormat)
{
    MetricsRegistry registry;
    registry.histogram("lacewing_call_seconds", { { "outcome", "answered" } }).observe(0.02);
    const std::string text = registry.text();
    BOOST_TEST(text.find("# TYPE lacewing_call_seconds histogram\n") != std::string::npos);
    BOOST_TEST(
        text.find("lacewing_call_seconds_bucket{outcome=\"answered\",le=\"0.01\"} 0\n") != std::string::npos);
    BOOST_TEST(text.find("lacewing_call_seconds_bucket{outcome=\"answered\",le=\"0.025\"} 1\n")
        != std::string::npos);
    BOOST_TEST(
        text.find("lacewing_call_seconds_bucket{outcome=\"answered\",le=\"+Inf\"} 1\n") != std::string::npos);
    BOOST_TEST(text.find("lacewing_call_seconds_sum{outcome=\"answered\"} 0.02\n") != std::string::npos);
    BOOST_TEST(text.find("lacewing_call_seconds_count{outcome=\"answered\"} 1\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
