#include "coordination/adapter_residency.h"

#include "coordination/cost_aware_eviction.h"
#include "coordination/fair_request_queue.h"
#include "coordination/lru_eviction.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <set>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

AdapterKey adapterNumber(uint64_t number)
{
    return { AdapterId("a" + std::to_string(number)), AdapterVersion("1") };
}

AdapterResidency::Options options(size_t slots, int64_t fence = 7, bool checksFencing = false)
{
    AdapterResidency::Options result;
    result.slots = slots;
    result.fence = FencingNumber(fence);
    result.checksFencing = checksFencing;
    return result;
}

AdapterResidency makeResidency(const AdapterResidency::Options& chosen)
{
    AdapterResidency residency(chosen, std::make_unique<LruEviction>());
    residency.observe({ "boot", FencingNumber(0), {} }, MonotonicTime {});
    return residency;
}

bool always(RequestClass)
{
    return true;
}

/// Queue to which each call of wait() adds one waiting request.
struct Waiting {
    FairRequestQueue queue { FairRequestQueue::Options {} };
    int64_t nextId = 1;

    void wait(const AdapterKey& adapter, RequestClass requestClass = RequestClass::Interactive)
    {
        queue.push({ QueuedRequestId(nextId++), WorkspaceId("w"), adapter, requestClass, Tokens(1), {},
            MonotonicTime(1h) });
    }
};

/// Simulated engine with random events that counts evictions of adapters in use. Orders are delayed, fail or
/// get lost, and ownership changes while requests of the previous owner are still running.
class RandomizedEngineTest {
public:
    RandomizedEngineTest(uint64_t seed, bool checksFencing)
        : m_random(seed)
        , m_checksFencing(checksFencing)
    {
        takeOver();
    }

    void step()
    {
        m_now += Duration(std::chrono::milliseconds(m_random.below(300)));
        switch (m_random.below(12)) {
        case 0:
        case 1:
        case 2:
            m_waiting.wait(adapterNumber(m_random.below(8)),
                m_random.chance(0.5) ? RequestClass::Interactive : RequestClass::Batch);
            break;
        case 3:
        case 4:
            finishRequest();
            break;
        case 5:
        case 6:
        case 7:
            answerOrder();
            break;
        case 8:
            if (m_random.chance(0.2))
                restart();
            break;
        case 9:
            if (m_random.chance(0.2))
                takeOver();
            break;
        default:
            m_residency->observe(status(), m_now);
        }
        run();
    }

    size_t violations = 0;
    size_t evictions = 0;
    size_t starts = 0;

private:
    struct Running {
        AdapterKey adapter;
        RequestClass requestClass;
        std::string name;
        int64_t fence;
        int boot;
    };

    struct Order {
        AdapterOrder order;
        int64_t fence;
        int boot;
    };

    EngineStatus status()
    {
        EngineStatus status { "boot" + std::to_string(m_boot),
            FencingNumber(m_checksFencing ? m_seenFence : 0), {} };
        for (const std::string& name : m_loaded)
            status.adapters.push_back({ name, runningOn(name) });
        return status;
    }

    int runningOn(const std::string& name) const
    {
        int count = 0;
        for (const Running& running : m_runs)
            count += running.name == name && running.boot == m_boot ? 1 : 0;
        return count;
    }

    void run()
    {
        while (auto order = m_residency->nextOrder(m_now, m_waiting.queue, always))
            m_orders.push_back({ *order, m_fence, m_boot });
        const auto isReady = [this](const AdapterKey& adapter, RequestClass requestClass) {
            return m_residency->isReady(adapter, requestClass);
        };
        while (m_runs.size() < 6) {
            const auto request = m_waiting.queue.pop(m_now, isReady);
            if (!request)
                return;
            BOOST_REQUIRE(m_residency->acquire(request->adapter, request->requestClass, m_now));
            m_runs.push_back({ request->adapter, request->requestClass, m_residency->nameOf(request->adapter),
                m_fence, m_boot });
            ++starts;
        }
    }

    void finishRequest()
    {
        if (m_runs.empty())
            return;
        const auto at = m_runs.begin() + static_cast<std::ptrdiff_t>(m_random.below(m_runs.size()));
        if (at->fence == m_fence)
            m_residency->release(at->adapter, at->requestClass, m_now);
        m_runs.erase(at);
    }

    void answerOrder()
    {
        if (m_orders.empty())
            return;
        const Order next = m_orders.front();
        m_orders.pop_front();
        OrderResult result = next.boot == m_boot ? execute(next) : OrderResult::Lost;
        if (m_random.chance(0.1))
            result = OrderResult::Lost;
        if (next.fence == m_fence)
            m_residency->finished(next.order, result, m_now);
    }

    OrderResult execute(const Order& next)
    {
        if (m_checksFencing && next.fence < m_seenFence)
            return OrderResult::StaleFence;
        m_seenFence = std::max(m_seenFence, next.fence);
        const std::string& name = next.order.name;
        if (next.order.kind == AdapterOrder::Kind::Evict) {
            ++evictions;
            violations += runningOn(name) > 0 ? 1 : 0;
            m_loaded.erase(name);
            return OrderResult::Done;
        }
        if (m_random.chance(0.2))
            return OrderResult::Failed;
        if (m_loaded.count(name) == 0 && m_loaded.size() >= 3)
            return OrderResult::NoFreeSlot;
        m_loaded.insert(name);
        return OrderResult::Done;
    }

    void restart()
    {
        ++m_boot;
        m_loaded.clear();
        m_seenFence = 0;
        m_residency->observe(status(), m_now);
    }

    void takeOver()
    {
        ++m_fence;
        AdapterResidency::Options chosen = options(3, m_fence, m_checksFencing);
        chosen.interactiveSlots = 1;
        chosen.drainDelay = 500ms;
        m_residency = std::make_unique<AdapterResidency>(
            chosen, std::make_unique<CostAwareEviction>(CostAwareEviction::Options {}));
        m_residency->observe(status(), m_now);
    }

    Random m_random;
    bool m_checksFencing;
    MonotonicTime m_now { 1h };
    int m_boot = 1;
    int64_t m_fence = 0;
    int64_t m_seenFence = 0;
    std::set<std::string> m_loaded;
    std::vector<Running> m_runs;
    std::deque<Order> m_orders;
    Waiting m_waiting;
    std::unique_ptr<AdapterResidency> m_residency;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AdapterResidencyTest)

// Guards against evicting an adapter that serves a request (R2), under random requests, lost and failed
// orders, engine restarts and ownership changes, on engines with and without fencing checks.
BOOST_AUTO_TEST_CASE(AdapterInUseIsNeverEvicted)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        RandomizedEngineTest randomized(seed, seed % 2 == 0);
        for (int i = 0; i < 2000; ++i)
            randomized.step();
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(randomized.violations == 0u);
            BOOST_TEST(randomized.evictions > 20u);
            BOOST_TEST(randomized.starts > 100u);
        }
    }
}

// Guards against loading an adapter twice when several requests wait for it.
BOOST_AUTO_TEST_CASE(WaitersShareOneLoad)
{
    AdapterResidency residency = makeResidency(options(4));
    Waiting waiting;
    waiting.wait(adapterNumber(1));
    waiting.wait(adapterNumber(1));
    const auto order = residency.nextOrder(MonotonicTime(1s), waiting.queue, always);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->name == "a1@1#7");
    BOOST_TEST(!residency.nextOrder(MonotonicTime(1s), waiting.queue, always).has_value());
}

// Guards against a failing load that delays the loads of other adapters.
BOOST_AUTO_TEST_CASE(FailedLoadBacksOffAlone)
{
    AdapterResidency residency = makeResidency(options(4));
    Waiting waiting;
    waiting.wait(adapterNumber(1));
    const auto first = residency.nextOrder(MonotonicTime(1s), waiting.queue, always);
    residency.finished(*first, OrderResult::Failed, MonotonicTime(1s));
    waiting.wait(adapterNumber(2));
    const auto second = residency.nextOrder(MonotonicTime(1s), waiting.queue, always);
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST((second->adapter == adapterNumber(2)));
    BOOST_TEST(!residency.nextOrder(MonotonicTime(1s), waiting.queue, always).has_value());
    BOOST_TEST(residency.nextOrder(MonotonicTime(3s), waiting.queue, always)->name == first->name);
}

// Guards against using adapters that an earlier owner loaded, and against evicting them while requests of
// that owner are still running.
BOOST_AUTO_TEST_CASE(NamesOfEarlierFencesDrainBeforeEviction)
{
    AdapterResidency residency(options(2), std::make_unique<LruEviction>());
    residency.observe({ "b", FencingNumber(0), { { "a1@1#6", 1 } } }, MonotonicTime(1s));
    Waiting waiting;
    BOOST_TEST(!residency.isReady(adapterNumber(1), RequestClass::Interactive));
    BOOST_TEST(!residency.nextOrder(MonotonicTime(100s), waiting.queue, always).has_value());
    residency.observe({ "b", FencingNumber(0), { { "a1@1#6", 0 } } }, MonotonicTime(101s));
    const auto order = residency.nextOrder(MonotonicTime(101s), waiting.queue, always);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST((order->kind == AdapterOrder::Kind::Evict));
    BOOST_TEST(order->name == "a1@1#6");
}

// Guards against using an adapter that a delayed order of the previous owner may still evict.
BOOST_AUTO_TEST_CASE(PlainNamesAreUsedOnlyOnceTheEngineKnowsTheFence)
{
    AdapterResidency residency(options(2, 7, true), std::make_unique<LruEviction>());
    residency.observe({ "b", FencingNumber(6), { { "a1@1", 0 } } }, MonotonicTime(1s));
    Waiting waiting;
    waiting.wait(adapterNumber(1));
    BOOST_TEST(!residency.isReady(adapterNumber(1), RequestClass::Interactive));
    const auto order = residency.nextOrder(MonotonicTime(2s), waiting.queue, always);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->name == "a1@1");
    residency.finished(*order, OrderResult::Done, MonotonicTime(3s));
    BOOST_TEST(residency.isReady(adapterNumber(1), RequestClass::Interactive));
    residency.observe({ "b", FencingNumber(8), { { "a1@1", 0 } } }, MonotonicTime(4s));
    BOOST_TEST(residency.superseded());
    BOOST_TEST(!residency.isReady(adapterNumber(1), RequestClass::Interactive));
}

// Guards against a status that was requested before an order but arrives after it and overwrites its effect.
BOOST_AUTO_TEST_CASE(OlderStatusDoesNotUndoAnOrder)
{
    AdapterResidency residency = makeResidency(options(1));
    Waiting waiting;
    waiting.wait(adapterNumber(1));
    const auto order = residency.nextOrder(MonotonicTime(2s), waiting.queue, always);
    residency.finished(*order, OrderResult::Done, MonotonicTime(3s));
    residency.observe({ "boot", FencingNumber(0), {} }, MonotonicTime(1s));
    BOOST_TEST(residency.isReady(adapterNumber(1), RequestClass::Interactive));
    residency.observe({ "boot", FencingNumber(0), {} }, MonotonicTime(4s));
    BOOST_TEST(!residency.isReady(adapterNumber(1), RequestClass::Interactive));
}

// Guards against a delayed eviction order that reaches the engine after the adapter was loaded again.
BOOST_AUTO_TEST_CASE(NameIsNotReusedWhileALostEvictionMayArrive)
{
    AdapterResidency residency = makeResidency(options(1));
    Waiting first;
    first.wait(adapterNumber(1));
    residency.finished(
        *residency.nextOrder(MonotonicTime(1s), first.queue, always), OrderResult::Done, MonotonicTime(1s));
    Waiting second;
    second.wait(adapterNumber(2));
    const auto evict = residency.nextOrder(MonotonicTime(2s), second.queue, always);
    BOOST_REQUIRE((evict->kind == AdapterOrder::Kind::Evict));
    residency.finished(*evict, OrderResult::Lost, MonotonicTime(2s));
    const auto again = residency.nextOrder(MonotonicTime(3s), second.queue, always);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->name == evict->name);
    residency.finished(*again, OrderResult::Done, MonotonicTime(3s));
    BOOST_TEST(!residency.nextOrder(MonotonicTime(4s), first.queue, always).has_value());
    BOOST_TEST(residency.nextOrder(MonotonicTime(13s), first.queue, always).has_value());
}

// Guards against starvation of an adapter because all resident ones are in constant use.
BOOST_AUTO_TEST_CASE(AdapterInUseIsDrainedForOneThatWaits)
{
    AdapterResidency residency = makeResidency(options(1));
    Waiting first;
    first.wait(adapterNumber(1));
    residency.finished(
        *residency.nextOrder(MonotonicTime(1s), first.queue, always), OrderResult::Done, MonotonicTime(1s));
    BOOST_REQUIRE(residency.acquire(adapterNumber(1), RequestClass::Interactive, MonotonicTime(1s)));
    Waiting second;
    second.wait(adapterNumber(2));
    BOOST_TEST(!residency.nextOrder(MonotonicTime(5s), second.queue, always).has_value());
    BOOST_TEST(!residency.acquire(adapterNumber(1), RequestClass::Interactive, MonotonicTime(5s)));
    residency.release(adapterNumber(1), RequestClass::Interactive, MonotonicTime(6s));
    const auto order = residency.nextOrder(MonotonicTime(6s), second.queue, always);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST((order->kind == AdapterOrder::Kind::Evict));
}

BOOST_AUTO_TEST_SUITE_END()
