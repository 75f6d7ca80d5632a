#include "fakes/adapter_slots.h"

#include "base/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    /// @return the error code of a load after all timers have run, or "loaded".
    std::string load(const LoadOrder& order)
    {
        std::string result = "no answer";
        slots.load(
            order, [&](const std::optional<EngineError>& error) { result = error ? error->code : "loaded"; });
        scheduler.advance(1s);
        return result;
    }

    std::string unload(const std::string& name, int64_t fencingNumber)
    {
        const auto error = slots.unload(name, fencingNumber);
        return error ? error->code : "unloaded";
    }

    VirtualScheduler scheduler;
    EngineOptions options;
    EngineFaults faults;
    MetricsRegistry metrics;
    TimedAdapterLoader loader { scheduler, 250ms };
    AdapterSlots slots { scheduler, options, faults, loader, metrics };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdapterSlotsTest, Fixture)

// Guards against an engine that holds more adapters than it has slots, or loses slots to failed loads.
BOOST_AUTO_TEST_CASE(SlotsAreLimitedAndFreedByFailedLoads)
{
    options.slots = 1;
    faults.loadFailures = 1;
    BOOST_TEST(load({ "a@1#1", "base", "a", "1", 1 }) == "load_failed");
    faults.loadFailures = 0;
    BOOST_TEST(load({ "a@1#1", "base", "a", "1", 1 }) == "loaded");
    BOOST_TEST(load({ "b@1#1", "base", "b", "1", 1 }) == "no_free_slot");
    BOOST_TEST(slots.identityOf("a@1#1").value() == "a@1");
    BOOST_TEST(unload("a@1#1", 1) == "unloaded");
    BOOST_TEST(load({ "b@1#1", "base", "b", "1", 1 }) == "loaded");
}

// Guards against a second load of an adapter that is loading already, and against use before it is resident.
BOOST_AUTO_TEST_CASE(OrdersForOneNameShareALoad)
{
    int answers = 0;
    for (int i = 0; i < 3; ++i)
        slots.load({ "n", "base", "a", "1", 1 }, [&](const auto& error) { answers += error ? 0 : 1; });
    scheduler.advance(249ms);
    BOOST_TEST(!slots.identityOf("n"));
    BOOST_TEST(load({ "n", "base", "a", "2", 1 }) == "invalid_request");
    BOOST_TEST(answers == 3);
    BOOST_TEST(metrics.counter("loads") == 1);
}

// Guards against orders from an owner that has been replaced, and a failed check that raises the number.
BOOST_AUTO_TEST_CASE(OldFencingNumbersAreRefused)
{
    BOOST_TEST(load({ "n", "base", "a", "1", 5 }) == "loaded");
    BOOST_TEST(load({ "m", "base", "b", "1", 4 }) == "stale_fencing_number");
    BOOST_TEST(unload("n", 4) == "stale_fencing_number");
    BOOST_TEST(slots.fencingNumber() == 5);
    BOOST_TEST(unload("n", 6) == "unloaded");
    BOOST_TEST(unload("n", 6) == "not_loaded");
}

// Guards against an engine that is meant to ignore fencing numbers but refuses old ones.
BOOST_AUTO_TEST_CASE(FencingNumbersCanBeIgnored)
{
    options.checkFencing = false;
    BOOST_TEST(load({ "n", "base", "a", "1", 5 }) == "loaded");
    BOOST_TEST(unload("n", 4) == "unloaded");
    BOOST_TEST(slots.fencingNumber() == 0);
}

// Guards against an unloaded adapter that becomes resident when its load ends.
BOOST_AUTO_TEST_CASE(UnloadEndsALoad)
{
    std::string first;
    slots.load({ "n", "base", "a", "1", 1 }, [&](const auto& error) { first = error->code; });
    scheduler.advance(100ms);
    BOOST_TEST(unload("n", 1) == "unloaded");
    scheduler.advance(1s);
    BOOST_TEST(first == "load_failed");
    BOOST_TEST(slots.residentNames().empty());
}

BOOST_AUTO_TEST_SUITE_END()
