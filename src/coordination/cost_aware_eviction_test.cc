#include "coordination/cost_aware_eviction.h"

#include "base/random.h"
#include "coordination/load_priority.h"
#include "coordination/lru_eviction.h"
#include "coordination/popularity_tracker.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

AdapterKey adapterNumber(uint64_t number)
{
    return { AdapterId(std::to_string(number)), AdapterVersion("1") };
}

/// Simulates a cache of 10 slots. 8 popular adapters get 80% of the requests and 1000 others the rest.
/// Halfway, 8 different adapters become the popular ones.
///
/// @return the misses of popular adapters before the shift, after a warm-up of 60 s, and from 60 s after it
/// on.
std::pair<int, int> popularMisses(EvictionPolicy& policy)
{
    Random random(5);
    std::map<AdapterKey, MonotonicTime> resident;
    std::pair<int, int> misses;
    constexpr MonotonicTime begin(1h);
    for (MonotonicTime now = begin; now < begin + 20min; now += 200ms) {
        const bool shifted = now >= begin + 10min;
        const bool popular = random.chance(0.8);
        const AdapterKey adapter
            = adapterNumber(popular ? random.below(8) + (shifted ? 100 : 0) : 1000 + random.below(1000));
        if (resident.count(adapter) == 0) {
            if (popular && now >= begin + 60s && !shifted)
                ++misses.first;
            if (popular && now >= begin + 11min)
                ++misses.second;
            std::vector<EvictionCandidate> candidates;
            for (const auto& [key, lastUse] : resident)
                candidates.push_back({ key, lastUse });
            if (candidates.size() >= 10)
                resident.erase(candidates[policy.choose(candidates, now)].adapter);
        }
        policy.recordUse(adapter, now);
        resident[adapter] = now;
    }
    return misses;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CostAwareEvictionTest)

// Guards against rarely used adapters that evict popular ones, as with LRU, and against formerly popular
// adapters that keep their slots after a shift in popularity.
BOOST_AUTO_TEST_CASE(KeepsPopularAdaptersBeforeAndAfterAShift)
{
    CostAwareEviction costAware { CostAwareEviction::Options {} };
    LruEviction lru;
    const auto ours = popularMisses(costAware);
    const auto baseline = popularMisses(lru);
    BOOST_TEST(baseline.first > 100);
    BOOST_TEST(ours.first * 5 < baseline.first);
    BOOST_TEST(ours.second * 5 < baseline.second);
}

// Guards against counts that do not decay, and against memory that grows with the number of adapters ever
// used.
BOOST_AUTO_TEST_CASE(PopularityDecaysAndIsForgotten)
{
    PopularityTracker tracker(10s);
    constexpr MonotonicTime begin(1h);
    for (uint64_t i = 0; i < 100; ++i)
        tracker.record(adapterNumber(i), begin);
    BOOST_TEST(tracker.share(adapterNumber(1), begin) == 0.01, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(tracker.count(adapterNumber(1), begin + 10s) < 0.37);
    tracker.record(adapterNumber(1), begin + 100s);
    BOOST_TEST(tracker.size() == 1u);
    BOOST_TEST(tracker.rate(adapterNumber(1), begin + 100s) == 0.1, boost::test_tools::tolerance(1e-3));
}

// Guards against batch loads that exhaust the fleet-wide limit, and against starvation of batch loads.
BOOST_AUTO_TEST_CASE(BatchLoadsLeaveAReserveButAdvance)
{
    LoadPriority priority { LoadPriority::Options {} };
    BOOST_TEST(!priority.mayLoad(RequestClass::Batch, 2));
    BOOST_TEST(priority.mayLoad(RequestClass::Interactive, 2));
    BOOST_TEST(!priority.mayLoad(RequestClass::Interactive, 0.5));
    int batch = 0;
    for (int i = 0; i < 1000; ++i) {
        const bool allowed = priority.mayLoad(RequestClass::Batch, 1);
        batch += allowed ? 1 : 0;
        priority.recordLoad(allowed ? RequestClass::Batch : RequestClass::Interactive);
    }
    BOOST_TEST(batch >= 90);
    BOOST_TEST(batch <= 110);
}

BOOST_AUTO_TEST_SUITE_END()
