#include "overload/overload_queue.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lacewing;
using namespace lacewing::overload;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime start { 100s };

/// A queue on an engine that reads 10 tokens a millisecond.
class Fixture {
public:
    Fixture() { engine.tokensPerMillisecond = 10; }

    /// @return the index of a request with a target of one second a level that arrived some time ago.
    size_t add(int priority, int64_t prompt, Duration age = 100ms, const char* workspace = "")
    {
        QueuedRequest request;
        request.priority = priority;
        request.prompt = Tokens(prompt);
        request.workspace = WorkspaceId(workspace);
        request.arrival = start - age;
        request.onTimeStart = request.arrival + (priority + 1) * 1s;
        request.latestStart = request.onTimeStart;
        request.readyAt = start;
        requests.push_back(request);
        return requests.size() - 1;
    }

    size_t addNew(int priority, int64_t prompt)
    {
        const size_t index = add(priority, prompt, 0ms);
        requests[index].isNew = true;
        return index;
    }

    QueuePlan plan() { return queue.plan(requests, engine, returns, start); }

    bool isDenied(size_t index)
    {
        const QueuePlan made = plan();
        return std::any_of(made.denials.begin(), made.denials.end(),
            [index](const QueuePlan::Denial& denial) { return denial.index == index; });
    }

    std::vector<QueuedRequest> requests;
    EngineState engine;
    ReturnSchedule returns;
    OverloadQueue queue;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadQueueTest)

// Load: a burst of the least urgent class fills the queue. Guards against refusing a request with a target of
// one second because of prompts that the engine reads after it.
BOOST_AUTO_TEST_CASE(LessUrgentPromptsDenyNoUrgentRequest)
{
    Fixture fixture;
    for (int index = 0; index < 9; ++index)
        fixture.add(2, 2000);
    fixture.engine.backlog[2] = Tokens(20'000);
    const size_t urgent = fixture.addNew(0, 2000);
    const QueuePlan plan = fixture.plan();
    BOOST_REQUIRE(!plan.order.empty());
    BOOST_TEST(plan.order.front() == urgent);
}

// Guards against a less urgent request that goes on waiting for a start that a newcomer has taken.
BOOST_AUTO_TEST_CASE(ANewcomerDisplacesWhatNoLongerStarts)
{
    Fixture fixture;
    std::vector<size_t> waiting;
    for (int index = 0; index < 18; ++index)
        waiting.push_back(fixture.add(2, 2000));
    BOOST_TEST(fixture.plan().denials.empty());
    for (int index = 0; index < 4; ++index)
        fixture.addNew(0, 2000);
    const QueuePlan plan = fixture.plan();
    BOOST_TEST(!plan.denials.empty());
    for (const QueuePlan::Denial& denial : plan.denials)
        BOOST_TEST(fixture.requests[denial.index].priority == 2);
}

// Guards against refusing a waiting request although the backlog's estimate has changed by little.
BOOST_AUTO_TEST_CASE(SmallChangesOfTheRateDenyNoWaitingRequest)
{
    Fixture fixture;
    const size_t waiting = fixture.add(0, 2000, 100ms);
    fixture.engine.backlog[0] = Tokens(8000);
    BOOST_TEST(!fixture.isDenied(waiting));
    fixture.engine.tokensPerMillisecond = 9;
    BOOST_TEST(!fixture.isDenied(waiting));
    fixture.engine.tokensPerMillisecond = 5;
    BOOST_TEST(fixture.isDenied(waiting));
}

// Guards against refusing a late start that the caller can still use.
BOOST_AUTO_TEST_CASE(AdmitsALateStartBeforeTheLatest)
{
    Fixture fixture;
    fixture.engine.backlog[0] = Tokens(12'000);
    const size_t index = fixture.addNew(0, 1000);
    BOOST_TEST(fixture.isDenied(index));
    fixture.requests[index].latestStart = start + 2200ms;
    BOOST_TEST(!fixture.isDenied(index));
}

// Guards against starving the least urgent class while more urgent requests arrive all the time.
BOOST_AUTO_TEST_CASE(ALongWaitMovesARequestUp)
{
    Fixture fixture;
    const size_t old = fixture.add(1, 1000, 1600ms);
    fixture.add(0, 1000);
    BOOST_TEST(fixture.plan().order.front() == old);
    fixture.requests[old].arrival = start - 100ms;
    BOOST_TEST(fixture.plan().order.front() != old);
}

// Guards against a request that moves up and costs a more urgent one its start.
BOOST_AUTO_TEST_CASE(MovingUpCostsNoUrgentRequestItsStart)
{
    Fixture fixture;
    const size_t old = fixture.add(1, 4000, 1550ms);
    const size_t urgent = fixture.addNew(0, 7000);
    BOOST_TEST(!fixture.isDenied(urgent));
    BOOST_TEST(fixture.isDenied(old));
}

// Load: one workspace sends six times as much as the others. Guards against small workspaces that lose their
// place to it, and against a large one that gets nothing.
BOOST_AUTO_TEST_CASE(AWorkspaceAboveItsShareGoesAfterTheOthers)
{
    Fixture fixture;
    const size_t first = fixture.add(0, 1000, 200ms, "large");
    for (int index = 0; index < 6; ++index)
        fixture.add(0, 1000, 150ms, "large");
    const size_t small = fixture.add(0, 1000, 100ms, "small");
    const auto order = fixture.plan().order;
    const auto place = std::find(order.begin(), order.end(), small) - order.begin();
    BOOST_TEST(order.front() == first);
    BOOST_TEST(place <= 4);
}

// Guards against a request that waits for its adapter and keeps others from starting, or is put behind those
// that come after the load.
BOOST_AUTO_TEST_CASE(ALoadingAdapterHoldsNoPlace)
{
    Fixture fixture;
    const size_t loading = fixture.add(0, 2000, 200ms);
    fixture.requests[loading].readyAt = start + 300ms;
    const size_t other = fixture.add(0, 2000, 100ms);
    fixture.add(1, 2000);
    fixture.add(1, 2000);
    const auto order = fixture.plan().order;
    BOOST_REQUIRE(order.size() == 4u);
    BOOST_TEST(order.front() == other);
    BOOST_TEST(order[2] == loading);
}

// Load: long answers hold all places of the engine. Guards against admitting requests that find no place.
BOOST_AUTO_TEST_CASE(CountsTheWaitForAPlace)
{
    Fixture fixture;
    fixture.engine.freePlaces = 1;
    fixture.engine.placeInterval = 600ms;
    fixture.add(0, 100);
    fixture.add(0, 100);
    BOOST_TEST(fixture.plan().denials.empty());
    BOOST_TEST(fixture.isDenied(fixture.addNew(0, 100)));
}

// Guards against giving the capacity that a refused caller was promised to a less urgent newcomer.
BOOST_AUTO_TEST_CASE(HoldsCapacityForReturns)
{
    Fixture fixture;
    const size_t newcomer = fixture.addNew(1, 12'000);
    BOOST_TEST(!fixture.isDenied(newcomer));
    for (uint64_t caller = 0; caller < 20; ++caller)
        fixture.returns.promise({ caller, 0, Tokens(2000), 9s }, Tokens(1000), 10, start);
    BOOST_TEST(fixture.isDenied(newcomer));
    fixture.requests.clear();
    BOOST_TEST(!fixture.isDenied(fixture.addNew(0, 5000)));
}

// Guards against promising a start in time to a request that later, more urgent ones will delay.
BOOST_AUTO_TEST_CASE(CountsRequestsThatWillOvertake)
{
    Fixture fixture;
    const size_t index = fixture.addNew(1, 12'000);
    BOOST_TEST(!fixture.isDenied(index));
    fixture.queue.admitted(0, Tokens(5000), start);
    BOOST_TEST(fixture.isDenied(index));
}

BOOST_AUTO_TEST_SUITE_END()
