#include "coordination/retry_budget.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

int countRetries(RetryBudget& budget)
{
    int count = 0;
    while (budget.tryRetry())
        ++count;
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgetTest)

// Guards against retries that multiply the load, and against a daemon with few requests that may not retry at
// all.
BOOST_AUTO_TEST_CASE(AllowsAFifthOfRequestsAndAFewASecond)
{
    VirtualScheduler scheduler;
    RetryBudget budget(scheduler);
    BOOST_TEST(countRetries(budget) == 30);
    for (int request = 0; request < 100; ++request)
        budget.countRequest();
    BOOST_TEST(countRetries(budget) == 20);
}

// Guards against a budget that never recovers, or that counts requests outside the window.
BOOST_AUTO_TEST_CASE(ForgetsWhatIsOlderThanTheWindow)
{
    VirtualScheduler scheduler;
    RetryBudget budget(scheduler);
    for (int request = 0; request < 100; ++request)
        budget.countRequest();
    BOOST_TEST(countRetries(budget) == 50);
    scheduler.advance(9s);
    BOOST_TEST(countRetries(budget) == 0);
    scheduler.advance(1s);
    BOOST_TEST(countRetries(budget) == 30);
}

BOOST_AUTO_TEST_SUITE_END()
