#include "gateway/fetch_limiter.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing::gateway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(FetchLimiterTest)

// Guards against unbounded concurrency of fetches that slow each other down.
BOOST_AUTO_TEST_CASE(FallsWhileFetchesAreSlowAndKeepsOne)
{
    FetchLimiter limiter;
    for (int fetch = 0; fetch < 50; ++fetch) {
        limiter.started();
        limiter.finished(1500ms);
    }
    BOOST_TEST(limiter.limit() < 8);
    limiter.setPeersInFlight(100, 6);
    BOOST_TEST(limiter.mayStart());
    limiter.started();
    BOOST_TEST(!limiter.mayStart());
}

// Guards against hosts that together start more fetches than the store serves at full speed.
BOOST_AUTO_TEST_CASE(CountsTheFetchesOfOtherHosts)
{
    FetchLimiter limiter;
    limiter.started();
    BOOST_TEST(limiter.mayStart());
    limiter.setPeersInFlight(static_cast<int>(limiter.limit()), 6);
    BOOST_TEST(!limiter.mayStart());
}

// Guards against a limit that stays low once the store is idle again.
BOOST_AUTO_TEST_CASE(GrowsWhileFetchesAreFast)
{
    FetchLimiter limiter;
    for (int fetch = 0; fetch < 60; ++fetch) {
        limiter.started();
        limiter.finished(250ms);
    }
    BOOST_TEST(limiter.limit() > 8);
}

// Load: many engines fetch adapters after a cold start. Guards against a limit sized for a small fleet, which
// makes each host of a large one fetch sequentially while the store is idle.
BOOST_AUTO_TEST_CASE(StartsWithTheNumberOfEngines)
{
    FetchLimiter limiter;
    limiter.setEngines(90);
    limiter.setPeersInFlight(30, 6);
    for (int fetch = 0; fetch < 4; ++fetch) {
        BOOST_TEST(limiter.mayStart());
        limiter.started();
    }
    limiter.told();
    BOOST_TEST((limiter.expectedWait() == 0ms));
    const double before = limiter.limit();
    limiter.finished(1500ms);
    limiter.setEngines(80);
    BOOST_TEST(limiter.limit() < before);
}

// Load: all hosts start with empty engines and learn of each other's fetches a heartbeat later. Guards
// against all of them claiming the same spare capacity of the store.
BOOST_AUTO_TEST_CASE(ExpectsPeersToFetchAsMuch)
{
    FetchLimiter limiter;
    limiter.setEngines(90);
    limiter.setPeersInFlight(0, 82);
    int begun = 0;
    for (; limiter.mayStart() && begun < 45; ++begun)
        limiter.started();
    BOOST_TEST(begun <= 4);
    limiter.told();
    limiter.setPeersInFlight(20, 82);
    BOOST_TEST(limiter.mayStart());
}

// Guards against mistaking loads from cached copies for a fast store.
BOOST_AUTO_TEST_CASE(IgnoresLoadsFromCopies)
{
    FetchLimiter limiter;
    const double before = limiter.limit();
    limiter.started();
    limiter.finished(25ms);
    BOOST_TEST(limiter.limit() == before);
    BOOST_TEST((limiter.fetchTime() == 250ms));
}

BOOST_AUTO_TEST_SUITE_END()
