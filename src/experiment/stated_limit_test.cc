#include "experiment/stated_limit.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::experiment;
using namespace std::chrono_literals;

namespace {

const MonotonicTime start(100s);

/// States a limit of 2 a second at the start, so that 17 requests are allowed in a window.
StatedLimit withRequests(int count, Duration after)
{
    StatedLimit limit;
    limit.state(RequestRate(2), start);
    for (int request = 0; request < count; ++request)
        limit.requestArrived(start + after + request * 10ms);
    return limit;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StatedLimitTest)

// Guards against a judge that lets an excess pass.
BOOST_AUTO_TEST_CASE(CountsTheRequestsOfTheWorstWindow)
{
    BOOST_TEST(withRequests(17, 8s).worstRatio() == 1);
    BOOST_TEST(withRequests(18, 8s).worstRatio() > 1);
}

// Guards against judging requests that arrive before hosts can know of the limit.
BOOST_AUTO_TEST_CASE(DoesNotJudgeUntilTheLimitHasSettled)
{
    BOOST_TEST(withRequests(100, 5s).worstRatio() == 0);
}

// Guards against judging a window by the wrong one of two limits.
BOOST_AUTO_TEST_CASE(AddsUpTheLimitsThatHoldInAWindow)
{
    StatedLimit limit = withRequests(0, 0s);
    limit.state(RequestRate(10), start + 10s);
    for (int request = 0; request < 41; ++request)
        limit.requestArrived(start + 12s);
    // 2 s at 2 and 2 s at 10 a second permit 24, which allows 41.
    BOOST_TEST(limit.worstRatio() == 1);
    limit.state(std::nullopt, start + 13s);
    for (int request = 0; request < 100; ++request)
        limit.requestArrived(start + 14s);
    BOOST_TEST(limit.worstRatio() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
