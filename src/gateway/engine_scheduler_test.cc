#include "gateway/engine_scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace lacewing;
using namespace lacewing::gateway;
using namespace std::chrono_literals;

namespace {

const ModelId model("base");

/// Drives one scheduler and executes its orders like an engine.
class Fixture {
public:
    explicit Fixture(int slots = 2)
        : scheduler(UpstreamId("engine-1"), limits(slots), fetchLimiter)
    {
        report({});
    }

    static EngineLimits limits(int slots)
    {
        EngineLimits limits;
        limits.batchSlots = 64;
        limits.cacheTokens = Tokens(150000);
        limits.adapterPlaces = slots;
        limits.weightsMegabytes = 100;
        limits.models = { { model, 90 } };
        return limits;
    }

    void report(const std::vector<HeldAdapter>& adapters, int64_t sequence = 0)
    {
        EngineReport report;
        report.orderSequence = sequence;
        report.models.push_back({ model, 1, adapters, {} });
        scheduler.decide(now);
        scheduler.reportArrived(report, now);
    }

    RunKey request(const char* adapter, Duration onTime = 800ms, Duration latest = 1800ms)
    {
        RunRequest request;
        request.key = { HostId("host-1"), RunId(m_nextRun++) };
        request.adapter = { model, AdapterId(adapter) };
        request.prompt = Tokens(200);
        request.output = Tokens(20);
        request.onTimeStart = now + onTime;
        request.latestStart = now + latest;
        scheduler.request(request, now);
        return request.key;
    }

    /// Requests a stream with a prompt of the given length on an adapter that is loaded.
    RunKey stream(Tokens prompt)
    {
        RunRequest request;
        request.key = { HostId("host-1"), RunId(m_nextRun++) };
        request.adapter = { model, AdapterId("a1") };
        request.prompt = prompt;
        request.onTimeStart = now + 5s;
        request.latestStart = now + 5s;
        request.targetPause = 500ms;
        scheduler.request(request, now);
        return request.key;
    }

    SchedulerDecisions decide()
    {
        SchedulerDecisions decisions = scheduler.decide(now);
        return decisions;
    }

    /// Accepts and completes orders for 40 rounds.
    std::vector<PlannedOrder> completeOrders(std::vector<RunGrant>* grants = nullptr)
    {
        std::vector<PlannedOrder> orders;
        for (int round = 0; round < 40; ++round) {
            const SchedulerDecisions decisions = scheduler.decide(now);
            if (grants)
                grants->insert(grants->end(), decisions.grants.begin(), decisions.grants.end());
            if (!decisions.order) {
                now += 30ms;
                continue;
            }
            const bool isRepeated = !orders.empty() && orders.back().adapter == decisions.order->adapter
                && orders.back().action == decisions.order->action;
            const bool isLoad = decisions.order->action == AdapterOrder::Action::Load;
            if (!isRepeated)
                orders.push_back(*decisions.order);
            scheduler.orderAnswered(
                isLoad && !isRepeated ? OrderOutcome::Accepted : OrderOutcome::AlreadyHolds, now);
        }
        return orders;
    }

    FetchLimiter fetchLimiter;
    MonotonicTime now = MonotonicTime(100s);
    EngineScheduler scheduler;

private:
    int64_t m_nextRun = 1;
};

} // namespace

BOOST_AUTO_TEST_SUITE(EngineSchedulerTest)

// Guards against one load per request instead of one shared load per adapter.
BOOST_AUTO_TEST_CASE(RequestsForOneAdapterWaitForOneLoad)
{
    Fixture fixture;
    fixture.request("a1");
    fixture.request("a1");
    std::vector<RunGrant> grants;
    BOOST_TEST(fixture.completeOrders(&grants).size() == 1);
    BOOST_TEST(grants.size() == 2);
}

// Guards against starting a run while its adapter is still loading, which the engine would reject.
BOOST_AUTO_TEST_CASE(GrantsOnlyOnceTheLoadIsConfirmed)
{
    Fixture fixture;
    fixture.request("a1");
    BOOST_TEST(fixture.decide().order.has_value());
    fixture.scheduler.orderAnswered(OrderOutcome::Accepted, fixture.now);
    BOOST_TEST(fixture.decide().grants.empty());
    fixture.now += 300ms;
    BOOST_TEST(fixture.decide().order.has_value());
    fixture.scheduler.orderAnswered(OrderOutcome::AlreadyHolds, fixture.now);
    BOOST_TEST(fixture.decide().grants.size() == 1);
}

// Guards against evicting an adapter that serves a request.
BOOST_AUTO_TEST_CASE(NeverEvictsAnAdapterInUse)
{
    Fixture fixture;
    fixture.report({ { AdapterId("a1"), 1 }, { AdapterId("a2"), 1 } });
    fixture.request("a1");
    const RunKey second = fixture.request("a2");
    BOOST_TEST(fixture.decide().grants.size() == 2);
    fixture.request("a3");
    BOOST_TEST(fixture.completeOrders().empty());
    fixture.scheduler.runEnded(second, RunEnding(), fixture.now);
    const auto orders = fixture.completeOrders();
    BOOST_REQUIRE(!orders.empty());
    BOOST_TEST((orders.front().action == AdapterOrder::Action::Unload));
    BOOST_TEST(orders.front().adapter.adapter == AdapterId("a2"));
}

// Guards against a load beyond the engine's slot capacity, which crashes the engine: a load that was refused
// as out of sequence must not be repeated once a report shows that all slots are taken.
BOOST_AUTO_TEST_CASE(ReconsidersARefusedLoad)
{
    Fixture fixture;
    fixture.request("a1");
    BOOST_TEST(fixture.decide().order.has_value());
    fixture.scheduler.orderAnswered(OrderOutcome::OutOfSequence, fixture.now);
    fixture.now += 300ms;
    fixture.report({ { AdapterId("b1"), 1 }, { AdapterId("b2"), 1 } }, 2);
    const auto decisions = fixture.decide();
    BOOST_REQUIRE(decisions.order.has_value());
    BOOST_TEST((decisions.order->action == AdapterOrder::Action::Unload));
    BOOST_TEST(decisions.order->expectedSequence == 2);
}

// Guards against treating a just unloaded adapter as loaded because of a report that lags behind.
BOOST_AUTO_TEST_CASE(IgnoresAReportOlderThanAnUnload)
{
    Fixture fixture;
    fixture.report({ { AdapterId("a1"), 1 }, { AdapterId("a2"), 1 } });
    fixture.request("a3");
    const auto unload = fixture.decide().order;
    BOOST_REQUIRE(unload.has_value());
    BOOST_REQUIRE((unload->action == AdapterOrder::Action::Unload));
    fixture.scheduler.orderAnswered(OrderOutcome::AlreadyHolds, fixture.now);
    fixture.now += 100ms;
    const AdapterId droppedAdapter = unload->adapter.adapter;
    fixture.scheduler.reportArrived(
        EngineReport { 0, false, { { model, 1, { { AdapterId("a1"), 1 }, { AdapterId("a2"), 1 } }, {} } } },
        fixture.now);
    for (const AdapterSummary& held : fixture.scheduler.summary(fixture.now).adapters)
        BOOST_TEST(held.adapter.adapter != droppedAdapter);
}

// Guards against counting a repeated order that is still in progress: the engine does not count it either.
BOOST_AUTO_TEST_CASE(CountsARepeatedOrderOnce)
{
    Fixture fixture;
    fixture.request("a1");
    BOOST_TEST(fixture.decide().order->expectedSequence == 0);
    fixture.scheduler.orderAnswered(OrderOutcome::Accepted, fixture.now);
    for (int repetition = 0; repetition < 3; ++repetition) {
        fixture.now += 300ms;
        const auto decisions = fixture.decide();
        BOOST_REQUIRE(decisions.order.has_value());
        BOOST_TEST(decisions.order->expectedSequence == 1);
        fixture.scheduler.orderAnswered(OrderOutcome::Accepted, fixture.now);
    }
}

// Guards against executing an unanswered order twice: its retry has the same sequence, so the engine refuses
// the later of the two.
BOOST_AUTO_TEST_CASE(RepeatsAnUnansweredOrderWithItsSequence)
{
    Fixture fixture;
    fixture.request("a1");
    const auto first = fixture.decide().order;
    fixture.scheduler.orderAnswered(OrderOutcome::Unknown, fixture.now);
    fixture.now += 600ms;
    const auto second = fixture.decide().order;
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->adapter.adapter == first->adapter.adapter);
    BOOST_TEST(second->expectedSequence == first->expectedSequence);
}

// Guards against starts on outdated weights, and against a new version that takes a second slot while the old
// one is still loaded.
BOOST_AUTO_TEST_CASE(UnloadsAnOldVersionBeforeTheNewOneIsLoaded)
{
    Fixture fixture;
    fixture.report({ { AdapterId("a1"), 1 }, { AdapterId("a2"), 1 } });
    const RunKey running = fixture.request("a1");
    BOOST_TEST(fixture.decide().grants.size() == 1);
    fixture.scheduler.setRelease({ model, AdapterId("a1") }, 2);
    fixture.request("a1");
    auto decisions = fixture.decide();
    BOOST_TEST(decisions.grants.empty());
    BOOST_TEST(!decisions.order.has_value());
    fixture.scheduler.runEnded(running, RunEnding(), fixture.now);
    std::vector<RunGrant> grants;
    const auto orders = fixture.completeOrders(&grants);
    BOOST_REQUIRE(orders.size() == 2);
    BOOST_TEST((orders[0].action == AdapterOrder::Action::Unload));
    BOOST_TEST((orders[1].action == AdapterOrder::Action::Load));
    BOOST_REQUIRE(grants.size() == 1);
    BOOST_TEST(grants[0].version.value() == 2);
}

// Load: an engine restarts empty after a crash. Guards against requests that wait for a model that nobody
// loads.
BOOST_AUTO_TEST_CASE(LoadsTheModelOfARestartedEngine)
{
    FetchLimiter fetchLimiter;
    EngineScheduler scheduler(UpstreamId("engine-1"), Fixture::limits(2), fetchLimiter);
    const MonotonicTime now(100s);
    scheduler.decide(now);
    scheduler.reportArrived(EngineReport(), now);
    const auto decisions = scheduler.decide(now);
    BOOST_REQUIRE(decisions.order.has_value());
    BOOST_TEST(decisions.order->adapter.model == model);
    BOOST_TEST(decisions.order->adapter.adapter.empty());
    BOOST_TEST(!scheduler.summary(now).isUsable);
}

// Load: an engine becomes unreachable with requests waiting. Guards against holding them until their callers
// time out.
BOOST_AUTO_TEST_CASE(DeniesAtOnceWhenTheEngineIsUnreachable)
{
    Fixture fixture;
    fixture.request("a1");
    for (int attempt = 0; attempt < 4; ++attempt) {
        fixture.now += 400ms;
        BOOST_REQUIRE(fixture.decide().order.has_value());
        fixture.scheduler.orderAnswered(OrderOutcome::Unknown, fixture.now);
    }
    const auto decisions = fixture.decide();
    BOOST_REQUIRE(decisions.denials.size() == 1);
    BOOST_TEST((decisions.denials[0].reason == RunRefusal::EngineUnusable));
    fixture.request("a1");
    BOOST_TEST(fixture.decide().denials.size() == 1);
}

// Guards against an engine that stays out of use after a cut, since its owner repeats an unanswered unload
// only when something else happens.
BOOST_AUTO_TEST_CASE(RepeatsAnUnansweredUnloadUntilTheEngineAnswers)
{
    Fixture fixture;
    fixture.report({ { AdapterId("a1"), 1 }, { AdapterId("a2"), 1 } });
    fixture.request("a3");
    const auto unload = fixture.decide().order;
    BOOST_REQUIRE(unload.has_value());
    BOOST_REQUIRE((unload->action == AdapterOrder::Action::Unload));
    // The owner evaluates the engine only when it has been asked to, as without requests.
    int repetitions = 0;
    auto decisions = SchedulerDecisions();
    fixture.scheduler.orderAnswered(OrderOutcome::Unknown, fixture.now);
    for (int evaluation = 0; evaluation < 200 && repetitions < 6; ++evaluation) {
        decisions = fixture.decide();
        if (decisions.order) {
            ++repetitions;
            fixture.now += 180ms;
            fixture.scheduler.orderAnswered(OrderOutcome::Unknown, fixture.now);
            continue;
        }
        if (!decisions.reevaluateAfter)
            break;
        fixture.now += *decisions.reevaluateAfter;
    }
    BOOST_TEST(repetitions == 6);
    BOOST_TEST(!fixture.scheduler.summary(fixture.now).isUsable);
}

// Load: a burst on one adapter. Guards against queueing requests that can't start in time.
BOOST_AUTO_TEST_CASE(DeniesOnArrivalWhatCannotStartInTime)
{
    Fixture fixture;
    fixture.report({ { AdapterId("a1"), 1 } });
    for (int request = 0; request < 200; ++request)
        fixture.request("a1");
    const auto decisions = fixture.decide();
    BOOST_TEST(!decisions.denials.empty());
    BOOST_TEST(!decisions.grants.empty());
    for (const RunDenial& denial : decisions.denials)
        BOOST_TEST((denial.retryAfter > Duration::zero()));
}

// Load: two adapters are requested, one by many requests. Guards against fetching the less requested one
// first.
BOOST_AUTO_TEST_CASE(LoadsTheAdapterWithMostRequestsFirst)
{
    Fixture fixture(1);
    fixture.request("rare");
    for (int request = 0; request < 3; ++request)
        fixture.request("popular");
    const auto order = fixture.decide().order;
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->adapter.adapter == AdapterId("popular"));
}

// Guards against slots that stay in use by the runs of a failed host.
BOOST_AUTO_TEST_CASE(FreesTheSlotsOfAFailedHost)
{
    Fixture fixture(1);
    fixture.report({ { AdapterId("a1"), 1 } });
    fixture.request("a1");
    BOOST_TEST(fixture.decide().grants.size() == 1);
    BOOST_TEST(fixture.scheduler.summary(fixture.now).openSlots == 0);
    fixture.scheduler.hostLost(HostId("host-1"), fixture.now);
    BOOST_TEST(fixture.scheduler.summary(fixture.now).openSlots == 1);
    BOOST_TEST(fixture.scheduler.summary(fixture.now).running == 0);
}

// Load: long prompts arrive while streams with too long pauses run. Guards against sending all prompts to the
// engine at once, and against short prompts that starve a long one.
BOOST_AUTO_TEST_CASE(LongPromptsAreReadOneAfterTheOther)
{
    Fixture fixture;
    fixture.report({ { AdapterId("a1"), 1 } });
    const RunKey stalled = fixture.stream(Tokens(100));
    const RunKey running = fixture.stream(Tokens(100));
    BOOST_TEST(fixture.decide().grants.size() == 2);
    for (const RunKey& key : { stalled, running })
        fixture.scheduler.runProgressed(key, fixture.now);
    fixture.scheduler.runEnded(stalled, { RunOutcome::Finished, 700ms }, fixture.now);
    const RunKey first = fixture.stream(Tokens(9000));
    const RunKey second = fixture.stream(Tokens(9000));
    fixture.stream(Tokens(10));
    BOOST_TEST(fixture.decide().grants.size() == 1);
    fixture.now += 200ms;
    fixture.scheduler.runProgressed(first, fixture.now);
    const SchedulerDecisions next = fixture.decide();
    BOOST_REQUIRE(!next.grants.empty());
    BOOST_TEST((next.grants.front().key == second));
}

// Load: an engine in need states that it takes one request a second, while requests for many adapters arrive.
// Guards against orders that count against the limit as requests do and exceed it, against a limit that is
// not used, and against requests that wait for a start which the limit does not permit in time.
BOOST_AUTO_TEST_CASE(RunsOrdersAndReportsKeepWithinTheLimitOfTheEngine)
{
    Fixture fixture;
    fixture.report({ { AdapterId("a0"), 1 } });
    fixture.scheduler.setRequestRate(RequestRate(1), fixture.now);
    std::vector<MonotonicTime> sent;
    std::map<RunKey, MonotonicTime> arrived;
    size_t granted = 0;
    for (int step = 0; step < 2000; ++step, fixture.now += 10ms) {
        if (step % 5 == 0)
            arrived[fixture.request(("a" + std::to_string(step / 5 % 6)).c_str())] = fixture.now;
        const SchedulerDecisions decisions = fixture.decide();
        for (const RunGrant& grant : decisions.grants) {
            sent.push_back(fixture.now);
            ++granted;
            fixture.scheduler.runProgressed(grant.key, fixture.now);
            fixture.scheduler.runEnded(grant.key, {}, fixture.now);
        }
        for (const RunDenial& denial : decisions.denials) {
            BOOST_TEST((fixture.now - arrived.at(denial.key) < 1s));
            BOOST_TEST((denial.retryAfter >= 100ms));
        }
        if (decisions.needsReport) {
            sent.push_back(fixture.now);
            fixture.scheduler.reportArrived(std::nullopt, fixture.now);
        }
        if (decisions.order) {
            sent.push_back(fixture.now);
            fixture.scheduler.orderAnswered(OrderOutcome::Accepted, fixture.now);
        }
    }
    BOOST_TEST(granted >= 10u);
    for (size_t first = 0; first < sent.size(); ++first) {
        size_t last = first;
        while (last < sent.size() && sent[last] - sent[first] < 4s)
            ++last;
        BOOST_TEST(last - first <= 6u);
    }
}

// Load: an engine with a limit holds none of the adapters that are asked for. Guards against denying all
// requests because of the orders that a load takes, so that the engine is never used again and its limit
// never ends (soak, seed 727).
BOOST_AUTO_TEST_CASE(AnEngineAtItsLimitLoadsAnAdapterForCallersThatComeBack)
{
    for (const double perSecond : { 0.3, 1.0 }) {
        Fixture fixture;
        fixture.report({ { AdapterId("a8"), 1 }, { AdapterId("a9"), 1 } });
        fixture.scheduler.setRequestRate(RequestRate(perSecond), fixture.now);
        std::optional<PlannedOrder> order;
        size_t granted = 0;
        for (int step = 0; step < 3000 && granted == 0; ++step, fixture.now += 10ms) {
            if (step % 20 == 0)
                fixture.request(step % 60 == 0 ? "a1" : "a2");
            const SchedulerDecisions decisions = fixture.decide();
            granted += decisions.grants.size();
            if (!decisions.order)
                continue;
            const bool isRepeated = order && order->adapter == decisions.order->adapter;
            const bool isLoad = decisions.order->action == AdapterOrder::Action::Load;
            order = decisions.order;
            fixture.scheduler.orderAnswered(
                isLoad && !isRepeated ? OrderOutcome::Accepted : OrderOutcome::AlreadyHolds, fixture.now);
        }
        BOOST_TEST(granted > 0u, perSecond << " a second");
    }
}

// Guards against hosts that go on avoiding an engine because of a limit which it has long dropped.
BOOST_AUTO_TEST_CASE(AnUnusedEngineIsOfferedAgainInSpiteOfItsLimit)
{
    Fixture fixture;
    fixture.report({ { AdapterId("a1"), 1 } });
    fixture.scheduler.setRequestRate(RequestRate(1), fixture.now);
    fixture.now += 2s;
    fixture.request("a1");
    BOOST_TEST(fixture.decide().grants.size() == 1u);
    BOOST_TEST((fixture.scheduler.summary(fixture.now).startInterval == 1s));
    fixture.now += 6s;
    BOOST_TEST((fixture.scheduler.summary(fixture.now).startInterval == 0s));
}

namespace {

/// Plays runs one after the other on an engine that prefills 40 tokens a millisecond, less while it is
/// slowed.
///
/// @param stated what the engine states of a slowdown.
template <typename Stated> void playSlowedRuns(Fixture& fixture, Stated stated)
{
    for (int run = 0; run < 400; ++run) {
        const double slowdown = run % 20 < 3 ? 2.5 : 1;
        const RunKey key = fixture.stream(Tokens(4000));
        BOOST_REQUIRE(fixture.decide().grants.size() == 1);
        fixture.now += 20ms + std::chrono::duration_cast<Duration>(slowdown * 100ms);
        fixture.scheduler.runProgressed(key, fixture.now, stated(slowdown));
        fixture.scheduler.runEnded(key, {}, fixture.now);
        fixture.now += 100ms;
    }
    // The last stretch is over.
    fixture.now += 5s;
}

} // namespace

// Load: an engine that is slowed by turns. Guards against a usual rate that contains the slowdown, and
// against a backlog that doesn't.
BOOST_AUTO_TEST_CASE(LearnsTheUsualRateOfASlowedEngine)
{
    Fixture fixture;
    fixture.report({ { AdapterId("a1"), 1 } });
    playSlowedRuns(fixture, [](double slowdown) { return std::make_optional(slowdown); });
    const auto learned = fixture.scheduler.learnedSpeed(fixture.now);
    BOOST_REQUIRE(learned.has_value());
    BOOST_TEST(learned->usualRate == 40, boost::test_tools::tolerance(0.1));
    BOOST_TEST(learned->meanSlowdown > 1.05);
    BOOST_TEST(learned->meanSlowdown < 1.5);
    fixture.stream(Tokens(4000));
    const Duration usual = fixture.scheduler.summary(fixture.now).prefillBacklog;
    fixture.scheduler.runProgressed({ HostId("host-2"), RunId(1) }, fixture.now, 2.5);
    const EngineSummary slowed = fixture.scheduler.summary(fixture.now);
    BOOST_TEST(slowed.statesSlowdown);
    BOOST_TEST((slowed.prefillBacklog > 1.5 * usual));
}

// Load: engines that always state 100 or 10,000. Guards against a backlog that is wrong for good.
BOOST_AUTO_TEST_CASE(AnUntrueConstantCancelsOut)
{
    Fixture without;
    without.report({ { AdapterId("a1"), 1 } });
    playSlowedRuns(without, [](double) { return std::optional<double>(); });
    for (const double always : { 1.0, 100.0 }) {
        Fixture fixture;
        fixture.report({ { AdapterId("a1"), 1 } });
        playSlowedRuns(fixture, [always](double) { return std::make_optional(always); });
        fixture.stream(Tokens(4000));
        if (always == 1)
            without.stream(Tokens(4000));
        const double ratio = toSeconds(fixture.scheduler.summary(fixture.now).prefillBacklog)
            / toSeconds(without.scheduler.summary(without.now).prefillBacklog);
        BOOST_TEST(ratio == 1, boost::test_tools::tolerance(0.2));
    }
}

// Guards against an owner that starts from the default although the former one has published what it learned,
// and against a speed that is published for an engine that states no slowdown.
BOOST_AUTO_TEST_CASE(ANewOwnerStartsFromTheFormerSpeed)
{
    Fixture fixture;
    BOOST_TEST(!fixture.scheduler.learnedSpeed(fixture.now).has_value());
    BOOST_TEST(!fixture.scheduler.summary(fixture.now).statesSlowdown);
    fixture.scheduler.seedSpeed({ 44, 1.25 }, fixture.now);
    const EngineSummary summary = fixture.scheduler.summary(fixture.now);
    BOOST_TEST(summary.statesSlowdown);
    BOOST_TEST(summary.promptTokensPerMillisecond == 44 / 1.25, boost::test_tools::tolerance(1e-9));
}

// Load: prompts that share their beginning, then requests that take the engine's whole memory. Guards against
// a digest that names prefixes for which the running requests leave no room, and against grants that state no
// saving.
BOOST_AUTO_TEST_CASE(StatesSharedPrefixesAsLongAsThereIsRoom)
{
    Fixture fixture;
    fixture.report({ { AdapterId("a1"), 1 } });
    const auto run = [&fixture](int64_t number, Tokens prompt) {
        RunRequest request;
        request.key = { HostId("host-1"), RunId(number) };
        request.adapter = { model, AdapterId("a1") };
        request.prompt = prompt;
        request.parts = { { 1, Tokens(341) }, { 2, Tokens(227) },
            { 100 + static_cast<uint64_t>(number), prompt - Tokens(568) } };
        request.onTimeStart = request.latestStart = fixture.now + 60s;
        fixture.scheduler.request(request, fixture.now);
        return fixture.decide().grants.at(0);
    };
    BOOST_TEST((run(1001, Tokens(2368)).savedTokens == Tokens(0)));
    fixture.scheduler.runProgressed({ HostId("host-1"), RunId(1001) }, fixture.now);
    fixture.scheduler.runEnded({ HostId("host-1"), RunId(1001) }, RunEnding(), fixture.now);
    BOOST_TEST(fixture.scheduler.sharedPrefixes().recent.empty());
    const RunGrant second = run(1002, Tokens(2368));
    BOOST_TEST((second.savedTokens == Tokens(568)));
    BOOST_TEST((second.promptTokens == Tokens(2368)));
    fixture.scheduler.runProgressed({ HostId("host-1"), RunId(1002) }, fixture.now);
    fixture.scheduler.runEnded({ HostId("host-1"), RunId(1002) }, RunEnding(), fixture.now);
    BOOST_TEST(fixture.scheduler.sharedPrefixes().recent.size() == 2);
    BOOST_TEST(fixture.scheduler.sharedPrefixes().memoryFill == 0);
    run(1003, Tokens(150'000));
    BOOST_TEST(fixture.scheduler.sharedPrefixes().recent.empty());
    BOOST_TEST(fixture.scheduler.sharedPrefixes().memoryFill == 1);
}

BOOST_AUTO_TEST_SUITE_END()
