#include "gateway/engine_places.h"

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
    Fixture() { places.setCapacity(2); }

    void load(const char* name)
    {
        places.orderTookEffect(places.load(adapter(name), now), OrderOutcome::Accepted, now);
        now += 300ms;
        places.orderTookEffect(
            { AdapterOrder::Action::Load, adapter(name) }, OrderOutcome::AlreadyHolds, now);
    }
    void report(const std::vector<const char*>& held)
    {
        EngineReport report;
        report.models.push_back({ model, 1, {}, {} });
        for (const char* name : held)
            report.models[0].adapters.push_back({ AdapterId(name), 1 });
        places.reported(report, now);
    }

    MonotonicTime now { 100s };
    LoadLimiter loads;
    AdapterPopularity popularity;
    EnginePlaces places { loads };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EnginePlacesTest, Fixture)

// Guards against dropping an adapter that is in use, awaited or popular.
BOOST_AUTO_TEST_CASE(DropsTheLeastPopularIdleAdapter)
{
    load("a");
    load("b");
    BOOST_TEST(!places.hasFree());
    popularity.count(adapter("a"), now);
    BOOST_TEST((places.dropLeastPopular({ adapter("b") }, popularity, now)->adapter == adapter("a")));
    places.orderWasRefused({ AdapterOrder::Action::Unload, adapter("a") });
    BOOST_TEST((places.dropLeastPopular({}, popularity, now)->adapter == adapter("b")));
    places.use(adapter("a"));
    BOOST_TEST(!places.dropLeastPopular({}, popularity, now).has_value());
}

// Guards against an adapter that a report from before its drop brings back.
BOOST_AUTO_TEST_CASE(IgnoresReportsFromBeforeADrop)
{
    load("a");
    const auto drop = places.dropLeastPopular({}, popularity, now);
    places.orderTookEffect(*drop, OrderOutcome::AlreadyHolds, now);
    now += 100ms;
    report({ "a" });
    BOOST_TEST(!places.has(adapter("a")));
    now += 1s;
    report({ "a" });
    BOOST_TEST(places.isPresent(adapter("a")));
}

// Guards against requests that start on a version that operators have replaced.
BOOST_AUTO_TEST_CASE(ReplacesAnOutdatedVersionOnceItIsIdle)
{
    report({ "a" });
    BOOST_TEST(places.isPresent(adapter("a")));
    places.use(adapter("a"));
    places.setRelease(adapter("a"), 2);
    BOOST_TEST(!places.isPresent(adapter("a")));
    BOOST_TEST(!places.replaceOutdated(now).has_value());
    BOOST_TEST(places.unuse(adapter("a")));
    BOOST_TEST((places.replaceOutdated(now)->action == AdapterOrder::Action::Unload));
}

// Guards against fetches that stay counted after their engine is gone, so that no other may start.
BOOST_AUTO_TEST_CASE(AbandonsItsFetches)
{
    {
        EnginePlaces others(loads);
        others.setCapacity(2);
        others.load(adapter("a"), now);
        BOOST_TEST(loads.inFlight() == 1);
        others.abandonLoads();
        BOOST_TEST(loads.inFlight() == 0);
        others.load(adapter("b"), now);
    }
    BOOST_TEST(loads.inFlight() == 0);
}

// Guards against waiting as long for an adapter that the engine still has a copy of as for a fetch.
BOOST_AUTO_TEST_CASE(KnowsWhichAdaptersAreWarm)
{
    load("a");
    BOOST_TEST(!places.isWarm(adapter("a")));
    places.orderTookEffect(*places.dropLeastPopular({}, popularity, now), OrderOutcome::AlreadyHolds, now);
    BOOST_TEST(places.isWarm(adapter("a")));
    BOOST_TEST((places.loadTime(adapter("a")) < places.loadTime(adapter("b"))));
}

BOOST_AUTO_TEST_SUITE_END()
