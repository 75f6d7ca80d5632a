#include "experiment/worth_bound.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::experiment;
using namespace std::chrono_literals;

namespace {

FleetShape oneEngine()
{
    FleetShape shape;
    shape.engines = 1;
    shape.promptTokensPerMillisecond = 1;
    shape.classes = { { "cheap", 0.5, Tokens(1000), 1, 0ms, 4s, 1, 0, 1 },
        { "dear", 0.5, Tokens(1000), 1, 0ms, 4s, 3, 1, 0 } };
    return shape;
}

Arrival arrival(Duration at, size_t requestClass, int64_t tokens)
{
    Arrival result;
    result.at = at;
    result.requestClass = requestClass;
    result.prompt = Tokens(tokens);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorthBoundTest)

// Guards against a bound below what a fleet without any queue earns.
BOOST_AUTO_TEST_CASE(IsOneWhereEverythingFits)
{
    const std::vector<Arrival> arrivals { arrival(0s, 0, 400), arrival(1s, 1, 400) };
    BOOST_TEST(offlineWorthBound(oneEngine(), arrivals, { 1, 1, 1 }) == 1);
    BOOST_TEST(offlineWorthBound(oneEngine(), {}, { 1 }) == 1);
}

// Guards against a bound that does not see a burst, or that drops the dear work first. One second of reading
// is available: the dear request takes it, half of the cheap one's worth is out of reach with the other half.
BOOST_AUTO_TEST_CASE(TakesTheWorkWithTheMostWorthPerToken)
{
    const std::vector<Arrival> arrivals { arrival(0s, 0, 1000), arrival(0s, 1, 500) };
    // Owed 4; the dear one gives 3 and half of the cheap one 0.5.
    BOOST_TEST(
        offlineWorthBound(oneEngine(), arrivals, { 1, 0, 0 }) == 3.5 / 4, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()
