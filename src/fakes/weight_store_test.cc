#include "fakes/weight_store.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

/// Starts some loads at once.
/// @return when each of them ended, in milliseconds.
std::vector<int64_t> endTimes(int64_t count)
{
    VirtualScheduler scheduler;
    WeightStoreOptions options;
    options.burst = 100;
    WeightStore store(scheduler, options);
    std::vector<int64_t> times;
    for (int64_t i = 0; i < count; ++i)
        store.load([&] { times.push_back(toMilliseconds(scheduler.now().time_since_epoch())); });
    scheduler.advance(10s);
    return times;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WeightStoreTest)

// Guards against loads that are slowed down too early, or not in proportion.
BOOST_AUTO_TEST_CASE(LoadsBeyondEightShareTheSpeed)
{
    BOOST_TEST(endTimes(8) == std::vector<int64_t>(8, 250), boost::test_tools::per_element());
    BOOST_TEST(endTimes(16) == std::vector<int64_t>(16, 500), boost::test_tools::per_element());
}

// Guards against a speed that is fixed when a load starts: 8 loads run alone for half of their time, then
// 8 more join, so the rest of the first takes 250 ms and the second end 125 ms after them.
BOOST_AUTO_TEST_CASE(SpeedFollowsTheLoadsInFlight)
{
    VirtualScheduler scheduler;
    WeightStoreOptions options;
    options.burst = 100;
    WeightStore store(scheduler, options);
    std::vector<int64_t> times;
    const auto loadEight = [&] {
        for (int i = 0; i < 8; ++i)
            store.load([&] { times.push_back(toMilliseconds(scheduler.now().time_since_epoch())); });
    };
    loadEight();
    scheduler.advance(125ms);
    loadEight();
    scheduler.advance(10s);
    BOOST_REQUIRE(times.size() == 16u);
    BOOST_TEST(times[0] == 375);
    BOOST_TEST(times[15] == 500);
    BOOST_TEST(store.peakLoadsInFlight() == 16u);
}

// Guards against a rate that is not limited, or a burst that grows without bound in a quiet time.
BOOST_AUTO_TEST_CASE(RateIsLimitedAfterTheBurst)
{
    VirtualScheduler scheduler;
    WeightStoreOptions options;
    options.loadsPerSecond = 2;
    options.burst = 3;
    WeightStore store(scheduler, options);
    const auto startMany = [&] {
        int started = 0;
        while (store.load([] {}))
            ++started;
        return started;
    };
    scheduler.advance(1h);
    BOOST_TEST(startMany() == 3);
    scheduler.advance(1s);
    BOOST_TEST(startMany() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
