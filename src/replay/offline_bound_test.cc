#include "replay/offline_bound.h"

#include "base/virtual_scheduler.h"
#include "replay/batch_engine.h"
#include "replay/placement_trace.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(OfflineBoundTest)

// Guards against a bound that evicts what is needed next. With 2 slots, LRU misses all 7 arrivals; MIN evicts
// 2 for the first 3 and 1 for the second 2, so it misses only 1, 2, 3, 2 and 1.
BOOST_AUTO_TEST_CASE(EvictsTheFarthestNextUse)
{
    std::vector<AdapterArrival> arrivals;
    for (const int adapter : { 1, 2, 3, 1, 2, 3, 1 })
        arrivals.push_back({ 1s * static_cast<int>(arrivals.size()), adapter });
    BOOST_TEST(offlineStalls(arrivals, 2, 250ms, 0s) == 5u);
    BOOST_TEST(offlineStalls(arrivals, 3, 250ms, 0s) == 3u);
}

// Guards against counting requests that share a load, or those before the counted time, wrongly.
BOOST_AUTO_TEST_CASE(RequestsDuringALoadWaitToo)
{
    const std::vector<AdapterArrival> arrivals = { { 0s, 1 }, { 100ms, 1 }, { 300ms, 1 } };
    BOOST_TEST(offlineStalls(arrivals, 1, 250ms, 0s) == 2u);
    BOOST_TEST(offlineStalls(arrivals, 1, 250ms, 50ms) == 1u);
}

// Guards against a model of the engine in which sharing a batch or an adapter has no effect.
BOOST_AUTO_TEST_CASE(DistinctAdaptersSlowABatchDown)
{
    double busy[2] = {};
    for (const int distinct : { 0, 1 }) {
        VirtualScheduler scheduler;
        int done = 0;
        BatchEngine engine(scheduler, [&](int) { ++done; });
        for (int request = 0; request < 4; ++request)
            engine.start(request, distinct * request, 0, 100);
        scheduler.advance(100s);
        BOOST_TEST(done == 4);
        BOOST_TEST(engine.sums().tokens == 400, boost::test_tools::tolerance(1e-3));
        busy[distinct] = engine.sums().busySeconds;
    }
    BOOST_TEST(busy[1] > busy[0]);
}

// Guards against a trace that differs between runs, or lacks the disturbance that it is named after.
BOOST_AUTO_TEST_CASE(TracesRepeatAndDisturb)
{
    PlacementDeployment deployment;
    deployment.requestsPerSecond = 2;
    const auto wave = generatePlacementTrace(deployment, TraceScenario::FridayWave, 4);
    const auto again = generatePlacementTrace(deployment, TraceScenario::FridayWave, 4);
    BOOST_REQUIRE(wave.requests.size() == again.requests.size());
    size_t before = 0;
    size_t during = 0;
    for (size_t i = 0; i < wave.requests.size(); ++i) {
        BOOST_REQUIRE(wave.requests[i].adapter == again.requests[i].adapter);
        if (wave.requests[i].requestClass != RequestClass::Batch)
            continue;
        const Duration at = wave.requests[i].at;
        before += at < wave.disturbanceBegin ? 1 : 0;
        during += at >= wave.disturbanceBegin && at < wave.disturbanceEnd ? 1 : 0;
    }
    // The wave lasts 30 minutes, the time before it 20.
    BOOST_TEST(during > before * 12);
    BOOST_TEST(during < before * 18);
}

BOOST_AUTO_TEST_SUITE_END()
