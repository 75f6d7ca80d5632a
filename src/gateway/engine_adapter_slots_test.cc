#include "gateway/engine_adapter_slots.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const ModelId model("base");

AdapterRef adapter(const char* name)
{
    return { model, AdapterId(name) };
}

struct Fixture {
    Fixture() { slots.setCapacity(2); }

    void load(const char* name)
    {
        slots.orderTookEffect(slots.load(adapter(name), now), OrderOutcome::Accepted, now);
        now += 300ms;
        slots.orderTookEffect({ AdapterOrder::Action::Load, adapter(name) }, OrderOutcome::AlreadyHolds, now);
    }
    void report(const std::vector<const char*>& held)
    {
        EngineReport report;
        report.models.push_back({ model, 1, {}, {} });
        for (const char* name : held)
            report.models[0].adapters.push_back({ AdapterId(name), 1 });
        slots.reported(report, now);
    }

    MonotonicTime now { 100s };
    FetchLimiter fetchLimiter;
    AdapterPopularity popularity;
    EngineAdapterSlots slots { fetchLimiter };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineAdapterSlotsTest, Fixture)

// Guards against evicting an adapter that is in use, awaited or popular.
BOOST_AUTO_TEST_CASE(EvictsTheLeastPopularIdleAdapter)
{
    load("a");
    load("b");
    BOOST_TEST(!slots.hasFreeSlot());
    popularity.count(adapter("a"), now);
    BOOST_TEST((slots.evictLeastPopular({ adapter("b") }, popularity, now)->adapter == adapter("a")));
    slots.orderWasRefused({ AdapterOrder::Action::Unload, adapter("a") });
    BOOST_TEST((slots.evictLeastPopular({}, popularity, now)->adapter == adapter("b")));
    slots.addUser(adapter("a"));
    BOOST_TEST(!slots.evictLeastPopular({}, popularity, now).has_value());
}

// Guards against restoring an unloaded adapter from a report that predates the unload.
BOOST_AUTO_TEST_CASE(IgnoresReportsFromBeforeAnUnload)
{
    load("a");
    const auto drop = slots.evictLeastPopular({}, popularity, now);
    slots.orderTookEffect(*drop, OrderOutcome::AlreadyHolds, now);
    now += 100ms;
    report({ "a" });
    BOOST_TEST(!slots.has(adapter("a")));
    now += 1s;
    report({ "a" });
    BOOST_TEST(slots.isPresent(adapter("a")));
}

// Guards against requests that start on a version that operators have replaced.
BOOST_AUTO_TEST_CASE(ReplacesAnOutdatedVersionOnceItIsIdle)
{
    report({ "a" });
    BOOST_TEST(slots.isPresent(adapter("a")));
    slots.addUser(adapter("a"));
    slots.setRelease(adapter("a"), 2);
    BOOST_TEST(!slots.isPresent(adapter("a")));
    BOOST_TEST(!slots.evictOutdated(now).has_value());
    BOOST_TEST(slots.removeUser(adapter("a")));
    BOOST_TEST((slots.evictOutdated(now)->action == AdapterOrder::Action::Unload));
}

// Guards against fetches that stay counted after their engine is gone and block all further ones.
BOOST_AUTO_TEST_CASE(AbandonsItsFetches)
{
    {
        EngineAdapterSlots others(fetchLimiter);
        others.setCapacity(2);
        others.load(adapter("a"), now);
        BOOST_TEST(fetchLimiter.inFlight() == 1);
        others.abandonFetches();
        BOOST_TEST(fetchLimiter.inFlight() == 0);
        others.load(adapter("b"), now);
    }
    BOOST_TEST(fetchLimiter.inFlight() == 0);
}

// Guards against expecting the duration of a fetch for an adapter of which the engine keeps a cached copy.
BOOST_AUTO_TEST_CASE(KnowsWhichAdaptersHaveACachedCopy)
{
    load("a");
    BOOST_TEST(!slots.hasCachedCopy(adapter("a")));
    slots.orderTookEffect(*slots.evictLeastPopular({}, popularity, now), OrderOutcome::AlreadyHolds, now);
    BOOST_TEST(slots.hasCachedCopy(adapter("a")));
    BOOST_TEST((slots.loadTime(adapter("a")) < slots.loadTime(adapter("b"))));
}

BOOST_AUTO_TEST_SUITE_END()
