#include "replay/limit_check.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(LimitCheckTest)

// Guards against a check that only looks at the whole run and misses a short interval.
BOOST_AUTO_TEST_CASE(FindsTheWorstInterval)
{
    LimitCheck check(100, Tokens(1000));
    check.charge(0s, 0s, Tokens(1000));
    check.charge(10s, 10s, Tokens(1000));
    BOOST_TEST(check.excess() == 0);
    check.charge(11s, 11s, Tokens(150));
    BOOST_TEST(check.excess() == 50);
    check.charge(100s, 100s, Tokens(1));
    BOOST_TEST(check.excess() == 50);
}

// Guards against finding an excess that the uncertain time of a charge may explain.
BOOST_AUTO_TEST_CASE(AllowsForUncertainTimes)
{
    LimitCheck check(100, Tokens(1000));
    check.charge(0s, 5s, Tokens(1000));
    check.charge(4s, 5s, Tokens(500));
    BOOST_TEST(check.excess() == 0);
    check.charge(4s, 5s, Tokens(700));
    BOOST_TEST(check.excess() == 700);
}

BOOST_AUTO_TEST_SUITE_END()
