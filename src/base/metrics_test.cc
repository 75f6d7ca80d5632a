#include "base/metrics.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;

BOOST_AUTO_TEST_SUITE(MetricsTest)

// Guards against an unescaped label value that ends its quotes early and corrupts the metrics output.
BOOST_AUTO_TEST_CASE(LabelValuesAreEscaped)
{
    MetricsRegistry registry;
    registry.counter("lacewing_refusals_total", { { "reason", "a\"b\\c\nd" } }) += 2;
    BOOST_TEST(registry.text()
        == "# TYPE lacewing_refusals_total counter\nlacewing_refusals_total{reason=\"a\\\"b\\\\c\\nd\"} 2\n");
}

// Guards against quantile estimates that do not match the observations.
BOOST_AUTO_TEST_CASE(SummaryEstimatesQuantiles)
{
    Summary summary;
    for (int i = 0; i < 1000; ++i)
        summary.observe((i * 7919) % 1000);
    BOOST_TEST(summary.count() == 1000);
    BOOST_TEST(summary.maximum() == 999);
    BOOST_TEST(summary.quantile(0.5) == 500, boost::test_tools::tolerance(0.05));
    BOOST_TEST(summary.quantile(0.99) == 990, boost::test_tools::tolerance(0.02));
}

// Guards against errors or undefined values in the metrics output before the first observation.
BOOST_AUTO_TEST_CASE(EmptySummaryIsZero)
{
    Summary summary;
    BOOST_TEST(summary.quantile(0.5) == 0);
    BOOST_TEST(summary.sum() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
