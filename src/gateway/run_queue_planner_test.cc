#include "gateway/engine_scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const ModelId model("base");
const AdapterRef loaded { model, AdapterId("a1") };

/// The scheduler of an engine that reads 20 tokens a millisecond and has one adapter loaded.
class Fixture {
public:
    explicit Fixture(OverloadPolicy policy, int batchSlots = 64)
        : scheduler(UpstreamId("engine-1"), limits(batchSlots), fetchLimiter)
    {
        scheduler.setOverloadPolicy(policy);
        EngineReport report;
        report.models.push_back({ model, 1, { { loaded.adapter, 1 } }, {} });
        scheduler.decide(now);
        scheduler.reportArrived(report, now);
    }

    static EngineLimits limits(int batchSlots)
    {
        EngineLimits limits;
        limits.batchSlots = batchSlots;
        limits.cacheTokens = Tokens(150'000);
        limits.adapterPlaces = 2;
        limits.models = { { model, 1 } };
        return limits;
    }

    RunKey request(int priority, int64_t prompt, Duration late = 0ms, const char* host = "host-1")
    {
        RunRequest request;
        request.key = { HostId(host), RunId(m_nextRun++) };
        request.adapter = loaded;
        request.prompt = Tokens(prompt);
        request.priority = priority;
        request.onTimeStart = now + (priority == 0 ? 1s : 2s);
        request.latestStart = request.onTimeStart + late;
        request.returnsWithin = 5s;
        scheduler.request(request, now);
        take();
        return request.key;
    }

    void take()
    {
        const SchedulerDecisions decisions = scheduler.decide(now);
        for (const RunGrant& grant : decisions.grants)
            grants.push_back(grant);
        for (const RunDenial& denial : decisions.denials)
            denials.push_back(denial);
    }

    bool isGranted(const RunKey& key) const
    {
        return std::any_of(
            grants.begin(), grants.end(), [&](const RunGrant& each) { return each.key == key; });
    }
    const RunDenial* denial(const RunKey& key) const
    {
        const auto found = std::find_if(
            denials.begin(), denials.end(), [&](const RunDenial& each) { return each.key == key; });
        return found == denials.end() ? nullptr : &*found;
    }

    FetchLimiter fetchLimiter;
    MonotonicTime now = MonotonicTime(100s);
    EngineScheduler scheduler;
    std::vector<RunGrant> grants;
    std::vector<RunDenial> denials;

private:
    int64_t m_nextRun = 1;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RunQueuePlannerTest)

// Load: prompts of the least urgent class fill an engine. Guards against refusing a request with a target of
// one second because of them, as the policy by arrival does.
BOOST_AUTO_TEST_CASE(OnlyThePolicyByArrivalRefusesUrgentRequestsBehindOthers)
{
    for (const OverloadPolicy policy : { OverloadPolicy::Arrival, OverloadPolicy::Priority }) {
        Fixture fixture(policy);
        for (int index = 0; index < 12; ++index)
            fixture.request(2, 2000);
        const RunKey urgent = fixture.request(0, 2000);
        const bool isPlanned = policy == OverloadPolicy::Priority;
        BOOST_TEST(fixture.isGranted(urgent) == isPlanned);
        BOOST_TEST((fixture.denial(urgent) != nullptr) == !isPlanned);
        BOOST_TEST((!isPlanned || fixture.grants.back().urgency == 2));
    }
}

// Guards against a burst that is granted as a whole, so that none of it can be denied any more.
BOOST_AUTO_TEST_CASE(KeepsRequestsOfABusyEngineInItsQueue)
{
    Fixture fixture(OverloadPolicy::Priority);
    for (int index = 0; index < 12; ++index)
        fixture.request(2, 2000);
    BOOST_TEST(fixture.grants.size() == 3u);
    fixture.now += 100ms;
    fixture.scheduler.runProgressed(fixture.grants.front().key, fixture.now);
    fixture.take();
    BOOST_TEST(fixture.grants.size() == 4u);
}

// Guards against an engine that idles because answers that are no streams never show a first event.
BOOST_AUTO_TEST_CASE(RunsWithoutEventsHoldNobodyBack)
{
    Fixture fixture(OverloadPolicy::Priority);
    for (int index = 0; index < 12; ++index)
        fixture.request(2, 2000);
    for (int step = 0; step < 100; ++step, fixture.now += 20ms)
        fixture.take();
    BOOST_TEST(fixture.grants.size() == 12u);
}

// Guards against less urgent requests that wait in vain until their time is over.
BOOST_AUTO_TEST_CASE(DisplacedRequestsAreDeniedAtOnce)
{
    Fixture fixture(OverloadPolicy::Priority);
    std::vector<RunKey> waiting;
    for (int index = 0; index < 18; ++index)
        waiting.push_back(fixture.request(2, 2000, 100ms));
    const size_t before = fixture.denials.size();
    for (int index = 0; index < 8; ++index)
        fixture.request(0, 2000);
    BOOST_REQUIRE(fixture.denials.size() > before);
    for (size_t index = before; index < fixture.denials.size(); ++index) {
        const RunDenial& denial = fixture.denials[index];
        BOOST_TEST(denial.isDisplaced);
        BOOST_TEST(*denial.priority == 2);
        BOOST_TEST(denial.isPromised);
        BOOST_TEST((denial.retryAfter > 0ms));
    }
}

// Guards against callers that are all told the same time, and against promises for requests that ask the next
// owner at once.
BOOST_AUTO_TEST_CASE(OnlyTheLastDenialPromisesAReturn)
{
    Fixture fixture(OverloadPolicy::Priority);
    for (int index = 0; index < 10; ++index)
        fixture.request(0, 2000);
    const RunDenial* first = fixture.denial(fixture.request(0, 20'000));
    BOOST_REQUIRE(first != nullptr);
    BOOST_TEST(!first->isPromised);
    const RunKey second = fixture.request(0, 30'000, 100ms);
    const RunKey third = fixture.request(0, 30'000, 100ms);
    BOOST_REQUIRE(fixture.denial(second) != nullptr);
    BOOST_REQUIRE(fixture.denial(third) != nullptr);
    BOOST_TEST(fixture.denial(second)->isPromised);
    BOOST_TEST((fixture.denial(third)->retryAfter > fixture.denial(second)->retryAfter));
}

// Guards against short prompts that keep a long one from starting by taking each place that becomes free.
BOOST_AUTO_TEST_CASE(ALargePromptIsNotOvertakenByTheLaterOnes)
{
    Fixture fixture(OverloadPolicy::Priority, 2);
    const RunKey first = fixture.request(0, 100);
    fixture.request(0, 100);
    const RunKey large = fixture.request(0, 4000);
    fixture.now += 10ms;
    const RunKey small = fixture.request(0, 100);
    fixture.scheduler.runEnded(first, {}, fixture.now);
    fixture.take();
    BOOST_TEST(fixture.isGranted(large));
    BOOST_TEST(!fixture.isGranted(small));
}

// Guards against the places and the backlog of a lost entry that go on delaying others.
BOOST_AUTO_TEST_CASE(ALostHostFreesItsPartOfTheQueue)
{
    Fixture fixture(OverloadPolicy::Priority);
    for (int index = 0; index < 9; ++index)
        fixture.request(0, 2000, 0ms, "host-2");
    const RunKey waiting = fixture.request(0, 2000, 1s);
    BOOST_TEST(!fixture.isGranted(waiting));
    fixture.scheduler.hostLost(HostId("host-2"), fixture.now);
    fixture.take();
    BOOST_TEST(fixture.isGranted(waiting));
    BOOST_TEST(fixture.scheduler.waitingRuns().empty());
}

// Guards against requests that wait at an owner that can no longer start them.
BOOST_AUTO_TEST_CASE(AnEngineThatLeavesDeniesAllWaiting)
{
    Fixture fixture(OverloadPolicy::Priority);
    for (int index = 0; index < 12; ++index)
        fixture.request(2, 2000);
    const size_t waiting = fixture.scheduler.waitingRuns().size();
    fixture.scheduler.setLeaving(true);
    fixture.take();
    BOOST_TEST(waiting > 0u);
    BOOST_TEST(fixture.denials.size() == waiting);
    BOOST_TEST((fixture.denials.back().reason == RunRefusal::EngineLeaving));
}

BOOST_AUTO_TEST_SUITE_END()
