#include "fakes/cache_event_log.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(CacheEventLogTest)

// Guards against events that are seen at once or without gaps, which would hide faults of their readers.
BOOST_AUTO_TEST_CASE(EventsAreLateAndHaveGaps)
{
    VirtualScheduler scheduler;
    CacheEventLog log(scheduler, 2s, 0.25, 7);
    for (int i = 0; i < 400; ++i)
        log.add("stored", "a@1", { 1 });
    scheduler.advance(1999ms);
    BOOST_TEST(log.show(0)["events"].empty());
    scheduler.advance(1ms);
    const auto events = log.show(0)["events"];
    BOOST_TEST(events.size() > 250u);
    BOOST_TEST(events.size() < 350u);
    const int64_t first = events[0]["sequence"];
    BOOST_TEST(log.show(first)["events"].size() == events.size() - 1);
    BOOST_TEST(log.show(400)["last_sequence"] == 400);
}

BOOST_AUTO_TEST_SUITE_END()
