#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace lacewing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(VirtualSchedulerTest)

// Guards against runs with equal seeds that differ because simultaneous timers run in a different order.
BOOST_AUTO_TEST_CASE(SimultaneousTimersRunInOrderOfCreation)
{
    VirtualScheduler scheduler;
    std::vector<int> order;
    scheduler.runAfter(5ms, [&] { order.push_back(1); });
    scheduler.runAfter(5ms, [&] { order.push_back(2); });
    scheduler.runAfter(1ms, [&] { order.push_back(0); });
    scheduler.advance(5ms);
    BOOST_TEST(order == std::vector<int>({ 0, 1, 2 }), boost::test_tools::per_element());
}

// Guards against a timer that runs although an earlier timer cancelled it.
BOOST_AUTO_TEST_CASE(TimerCancelledByEarlierTimerDoesNotRun)
{
    VirtualScheduler scheduler;
    bool ran = false;
    const TimerId later = scheduler.runAfter(2ms, [&] { ran = true; });
    scheduler.runAfter(1ms, [&] { scheduler.cancel(later); });
    scheduler.advance(10ms);
    BOOST_TEST(!ran);
    BOOST_TEST(scheduler.pendingCount() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
