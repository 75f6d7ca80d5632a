#include "coordination/call_budget.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(CallBudgetTest)

// Guards against a fleet that exceeds the table's capacity, and against polling that starves session writes.
BOOST_AUTO_TEST_CASE(CallsStayWithinTheShareOfTheDaemon)
{
    VirtualScheduler scheduler;
    CallBudget budget(scheduler);
    budget.setFleetSize(320);
    int normal = 0;
    for (int second = 0; second < 1000; ++second) {
        scheduler.advance(1s);
        while (budget.take(CallPriority::Normal))
            ++normal;
    }
    BOOST_TEST(normal <= 3125 + 10);
    BOOST_TEST(normal >= 3115);
    BOOST_TEST(!budget.take(CallPriority::Normal));
    BOOST_TEST(budget.take(CallPriority::Urgent));
}

BOOST_AUTO_TEST_SUITE_END()
