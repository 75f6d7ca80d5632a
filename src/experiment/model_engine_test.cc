#include "base/virtual_scheduler.h"
#include "experiment/model_engine.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::experiment;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const ModelId model("base");

AdapterRef adapter(const std::string& name)
{
    return { model, AdapterId(name) };
}

struct Fixture {
    OrderOutcome order(AdapterOrder::Action action, const std::string& name, int64_t sequence)
    {
        OrderOutcome result = OrderOutcome::Unknown;
        engine.order(
            { action, adapter(name), sequence }, [&result](OrderOutcome outcome) { result = outcome; });
        return result;
    }

    FleetShape shape = FleetShape::ofEngines(3);
    VirtualScheduler scheduler;
    WeightStore store { shape };
    ModelEngine engine { scheduler, store, shape, model };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ModelEngineTest, Fixture)

// Guards against an engine that holds more adapters than it has places, or carries out an order twice.
BOOST_AUTO_TEST_CASE(KeepsToItsPlacesAndSequence)
{
    for (int index = 0; index < shape.adapterPlaces; ++index)
        BOOST_TEST(
            (order(AdapterOrder::Action::Load, std::to_string(index), index) == OrderOutcome::Accepted));
    BOOST_TEST((order(AdapterOrder::Action::Load, "more", shape.adapterPlaces) == OrderOutcome::Invalid));
    BOOST_TEST((order(AdapterOrder::Action::Load, "0", 0) == OrderOutcome::Accepted));
    BOOST_TEST((order(AdapterOrder::Action::Unload, "0", 0) == OrderOutcome::OutOfSequence));
    scheduler.advance(1s);
    BOOST_TEST((order(AdapterOrder::Action::Load, "0", 0) == OrderOutcome::AlreadyHolds));
}

// Guards against an adapter that is taken away from a running request.
BOOST_AUTO_TEST_CASE(KeepsAnAdapterInUse)
{
    order(AdapterOrder::Action::Load, "a", 0);
    scheduler.advance(1s);
    std::vector<ModelEngine::RunEvent> events;
    engine.run(adapter("a"), Tokens(2580), 2, 5,
        [&events](ModelEngine::RunEvent event) { events.push_back(event); });
    BOOST_TEST((order(AdapterOrder::Action::Unload, "a", 1) == OrderOutcome::Invalid));
    scheduler.advance(100ms);
    BOOST_TEST(events.empty());
    scheduler.advance(30ms);
    BOOST_TEST((events == std::vector { ModelEngine::RunEvent::FirstEvent }));
    scheduler.advance(1s);
    BOOST_TEST((events.back() == ModelEngine::RunEvent::Finished));
    BOOST_TEST((order(AdapterOrder::Action::Unload, "a", 1) == OrderOutcome::AlreadyHolds));
}

// Guards against a crash after which a request neither ends nor fails.
BOOST_AUTO_TEST_CASE(LosesItsRunsInACrash)
{
    order(AdapterOrder::Action::Load, "a", 0);
    scheduler.advance(1s);
    int lost = 0;
    const auto count
        = [&lost](ModelEngine::RunEvent event) { lost += event == ModelEngine::RunEvent::Lost ? 1 : 0; };
    engine.run(adapter("a"), Tokens(1000), 8, 5, count);
    engine.run(adapter("a"), Tokens(1000), 8, 5, count);
    scheduler.advance(50ms);
    engine.crash();
    scheduler.advance(10s);
    BOOST_TEST(lost == 2);
    BOOST_TEST(!engine.holds(adapter("a")));
}

// Guards against fetches that cost nothing although the store is busy.
BOOST_AUTO_TEST_CASE(FetchesSlowDownBeyondTheStoresSpeed)
{
    WeightStore busy(shape);
    for (int fetch = 0; fetch < shape.fullSpeedLoads; ++fetch)
        BOOST_TEST((busy.begin() == shape.coldLoadTime));
    BOOST_TEST((busy.begin() > shape.coldLoadTime));
    BOOST_TEST(busy.fetches() == shape.fullSpeedLoads + 1);
}

BOOST_AUTO_TEST_SUITE_END()
