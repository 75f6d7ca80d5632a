#include "replay/placement_simulation.h"

#include "coordination/baseline_selectors.h"
#include "coordination/bounded_load_selector.h"
#include "coordination/cost_aware_eviction.h"
#include "coordination/fair_request_queue.h"
#include "coordination/fifo_request_queue.h"
#include "coordination/load_priority.h"
#include "coordination/lru_eviction.h"

#include <utility>

namespace lacewing {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr size_t entryCount = 7;
constexpr size_t dataCentres = 3;
constexpr int maximumLoadsInFlight = 8;
constexpr double loadBurst = 8;
constexpr double loadFailureRate = 0.1;
constexpr int maximumMoves = 2;
constexpr size_t queueCapacity = 2000;
constexpr Duration loadTime = milliseconds(250);
constexpr Duration evictTime = milliseconds(5);
constexpr Duration linkDelay = milliseconds(2);
constexpr Duration reportInterval = seconds(1);
constexpr Duration reportDelay = milliseconds(50);
constexpr Duration tickInterval = milliseconds(100);
constexpr Duration bootTime = seconds(10);
constexpr Duration interactiveDeadline = seconds(10);
constexpr Duration batchDeadline = minutes(60);

DataCentreId dataCentreOf(size_t number)
{
    return DataCentreId("dc" + std::to_string(number % dataCentres));
}

} // namespace

struct PlacementSimulation::Engine {
    UpstreamId id;
    std::unique_ptr<RequestQueue> queue;
    std::unique_ptr<AdapterResidency> residency;
    std::unique_ptr<BatchEngine> batch;
    LoadPriority loadPriority { LoadPriority::Options {} };
    /// Requests in the queue.
    std::set<size_t> waiting;
    bool up = true;
    int boots = 0;
    FencingNumber fence { 1 };
};

struct PlacementSimulation::Entry {
    Entry(std::unique_ptr<UpstreamSelector> chosen, uint64_t seed)
        : selector(std::move(chosen))
        , health(healthOptions(seed))
    {
    }

    static UpstreamHealth::Options healthOptions(uint64_t seed)
    {
        UpstreamHealth::Options options;
        options.seed = seed;
        return options;
    }

    std::unique_ptr<UpstreamSelector> selector;
    UpstreamHealth health;
    std::vector<UpstreamView> views;
    DataCentreId dataCentre;
};

PlacementSimulation::PlacementSimulation(const PlacementDeployment& deployment, const PlacementPolicy& policy,
    TraceScenario scenario, const PlacementTrace& trace, uint64_t seed)
    : m_deployment(deployment)
    , m_policy(policy)
    , m_scenario(scenario)
    , m_trace(trace)
    , m_random(seed)
    , m_limiter(deployment.loadsPerSecond, loadBurst, maximumLoadsInFlight)
    , m_requests(trace.requests.size())
{
    for (int number = 0; number < deployment.adapters; ++number) {
        m_adapters.push_back({ AdapterId("a" + std::to_string(number)), AdapterVersion("1") });
        m_adapterNumbers[m_adapters.back()] = number;
    }
    for (const TraceRequest& request : trace.requests) {
        PlacementRecord record;
        record.request = request;
        m_result.records.push_back(record);
    }
    addEngines();
    addEntries();
}

PlacementSimulation::~PlacementSimulation() = default;

PlacementResult PlacementSimulation::run()
{
    scheduleNextArrival();
    m_scheduler.runAfter(tickInterval, [this] { tick(); });
    m_scheduler.runAfter(reportInterval, [this] { report(); });
    m_scheduler.runAfter(m_trace.warmUp, [this] { resetSums(); });
    if (m_scenario == TraceScenario::EngineRestarts)
        m_scheduler.runAfter(m_trace.warmUp, [this] { restartOne(); });
    m_scheduler.advance(m_trace.length);
    for (const auto& engine : m_engines) {
        const BatchEngine::Sums& sums = engine->batch->sums();
        m_result.engineSums.busySeconds += sums.busySeconds;
        m_result.engineSums.batchSeconds += sums.batchSeconds;
        m_result.engineSums.adapterSeconds += sums.adapterSeconds;
        m_result.engineSums.tokens += sums.tokens;
    }
    return std::move(m_result);
}

void PlacementSimulation::addEngines()
{
    const auto count = static_cast<size_t>(m_deployment.engines);
    m_result.arrivals.resize(count);
    for (size_t number = 0; number < count; ++number) {
        auto engine = std::make_unique<Engine>();
        engine->id = UpstreamId("engine" + std::to_string(number));
        engine->queue = makeQueue();
        engine->residency = makeResidency(number, engine->fence);
        engine->batch = std::make_unique<BatchEngine>(
            m_scheduler, [this, number](int request) { requestDone(number, static_cast<size_t>(request)); });
        m_engines.push_back(std::move(engine));
        boot(number);
    }
}

void PlacementSimulation::addEntries()
{
    std::set<UpstreamId> members;
    for (const auto& engine : m_engines)
        members.insert(engine->id);
    for (size_t number = 0; number < entryCount; ++number) {
        auto entry = std::make_unique<Entry>(makeSelector(), m_random.next());
        entry->dataCentre = dataCentreOf(number);
        entry->health.setMembers(members, m_scheduler.now());
        for (size_t i = 0; i < m_engines.size(); ++i) {
            UpstreamView view;
            view.upstream = m_engines[i]->id;
            view.owner = HostId("owner");
            view.dataCentre = dataCentreOf(i);
            view.maximumConcurrency = m_deployment.maximumConcurrency;
            entry->views.push_back(view);
            entry->health.recordBootId(view.upstream, "1", m_scheduler.now());
        }
        m_entries.push_back(std::move(entry));
    }
}

std::unique_ptr<UpstreamSelector> PlacementSimulation::makeSelector()
{
    switch (m_policy.selector) {
    case SelectorKind::Random:
        return std::make_unique<RandomSelector>(m_random.next());
    case SelectorKind::LeastQueue:
        return std::make_unique<LeastQueueSelector>(m_random.next());
    case SelectorKind::Rendezvous:
        return std::make_unique<RendezvousSelector>();
    case SelectorKind::BoundedLoad:
        break;
    }
    return std::make_unique<BoundedLoadSelector>(BoundedLoadSelector::Options {});
}

std::unique_ptr<RequestQueue> PlacementSimulation::makeQueue() const
{
    if (!m_policy.fairQueue)
        return std::make_unique<FifoRequestQueue>(queueCapacity);
    FairRequestQueue::Options options;
    options.capacityPerClass = queueCapacity;
    options.maximumBatchRunning = static_cast<size_t>(m_deployment.maximumConcurrency) * 5 / 8;
    return std::make_unique<FairRequestQueue>(options);
}

std::unique_ptr<AdapterResidency> PlacementSimulation::makeResidency(size_t engine, FencingNumber fence)
{
    AdapterResidency::Options options;
    options.slots = static_cast<size_t>(m_deployment.slots);
    options.fence = fence;
    options.checksFencing = engine % 2 == 0;
    options.interactiveSlots = m_policy.fairQueue ? options.slots * 5 / 8 : 0;
    options.seed = m_random.next();
    std::unique_ptr<EvictionPolicy> eviction;
    if (m_policy.costAwareEviction)
        eviction = std::make_unique<CostAwareEviction>(CostAwareEviction::Options {});
    else
        eviction = std::make_unique<LruEviction>();
    return std::make_unique<AdapterResidency>(options, std::move(eviction));
}

void PlacementSimulation::scheduleNextArrival()
{
    if (m_nextArrival >= m_requests.size())
        return;
    const size_t index = m_nextArrival++;
    const TraceRequest& request = m_result.records[index].request;
    m_scheduler.runAfter(MonotonicTime(request.at) - m_scheduler.now(), [this, index] {
        m_requests[index].entry = m_random.below(m_entries.size());
        m_requests[index].remainingTokens = m_result.records[index].request.outputTokens;
        scheduleNextArrival();
        place(index);
    });
}

void PlacementSimulation::place(size_t index)
{
    Request& request = m_requests[index];
    Entry& entry = *m_entries[request.entry];
    const MonotonicTime now = m_scheduler.now();
    for (UpstreamView& view : entry.views)
        view.weight = entry.health.weight(view.upstream, now);
    Selection selection;
    selection.adapter = m_adapters[static_cast<size_t>(m_result.records[index].request.adapter)];
    selection.dataCentre = entry.dataCentre;
    selection.requestClass = m_result.records[index].request.requestClass;
    selection.excluded = request.excluded;
    const auto chosen = entry.selector->select(selection, entry.views, now);
    if (!chosen) {
        refuse(index, "no_upstream");
        return;
    }
    size_t engine = 0;
    while (m_engines[engine]->id != *chosen)
        ++engine;
    entry.selector->started(*chosen, selection.adapter, now);
    request.engine = engine;
    m_scheduler.runAfter(linkDelay, [this, index, engine] { arrive(index, engine); });
}

void PlacementSimulation::arrive(size_t index, size_t number)
{
    Engine& engine = *m_engines[number];
    PlacementRecord& record = m_result.records[index];
    const MonotonicTime now = m_scheduler.now();
    if (!engine.up) {
        m_entries[m_requests[index].entry]->health.recordFailure(engine.id, now);
        retryElsewhere(index, number);
        return;
    }
    const AdapterKey& adapter = m_adapters[static_cast<size_t>(record.request.adapter)];
    const bool interactive = record.request.requestClass == RequestClass::Interactive;
    if (!record.arrivedAt)
        record.arrivedAt = now;
    QueuedRequest queued;
    queued.id = QueuedRequestId(static_cast<int64_t>(index));
    queued.workspace = WorkspaceId("w" + std::to_string(record.request.workspace));
    queued.adapter = adapter;
    queued.requestClass = record.request.requestClass;
    queued.cost = Tokens(record.request.promptTokens + m_requests[index].remainingTokens);
    queued.arrival = now;
    queued.startDeadline = *record.arrivedAt + (interactive ? interactiveDeadline : batchDeadline);
    if (!engine.queue->push(queued)) {
        refuse(index, "queue_full");
        return;
    }
    engine.waiting.insert(index);
    m_result.arrivals[number].push_back({ now.time_since_epoch(), record.request.adapter });
    if (!engine.residency->isReady(adapter, RequestClass::Interactive))
        record.stalled = true;
    pump(number);
}

void PlacementSimulation::retryElsewhere(size_t index, size_t number)
{
    Request& request = m_requests[index];
    Engine& engine = *m_engines[number];
    m_entries[request.entry]->selector->finished(engine.id, m_scheduler.now());
    request.engine.reset();
    request.excluded.insert(engine.id);
    ++m_result.records[index].moves;
    if (request.excluded.size() > m_engines.size() / 2)
        request.excluded.clear();
    place(index);
}

void PlacementSimulation::refuse(size_t index, const std::string& reason)
{
    m_result.records[index].refusal = reason;
    Request& request = m_requests[index];
    if (request.engine)
        m_entries[request.entry]->selector->finished(m_engines[*request.engine]->id, m_scheduler.now());
    request.engine.reset();
}

void PlacementSimulation::pump(size_t number)
{
    if (!m_engines[number]->up)
        return;
    startReady(number);
    sendOrders(number);
}

void PlacementSimulation::sendOrders(size_t number)
{
    Engine& engine = *m_engines[number];
    if (engine.waiting.empty())
        return;
    const MonotonicTime now = m_scheduler.now();
    const auto mayLoad = [&](RequestClass requestClass) {
        const double available = m_limiter.available(now);
        return m_policy.fairQueue ? engine.loadPriority.mayLoad(requestClass, available) : available >= 1;
    };
    while (const auto order = engine.residency->nextOrder(now, *engine.queue, mayLoad))
        sendOrder(number, *order);
}

void PlacementSimulation::startReady(size_t number)
{
    Engine& engine = *m_engines[number];
    const MonotonicTime now = m_scheduler.now();
    const auto isReady = [&](const AdapterKey& adapter, RequestClass requestClass) {
        return engine.residency->isReady(adapter, requestClass);
    };
    while (engine.batch->running() < static_cast<size_t>(m_deployment.maximumConcurrency)) {
        const auto queued = engine.queue->pop(now, isReady);
        if (!queued)
            return;
        const auto index = static_cast<size_t>(queued->id.value());
        PlacementRecord& record = m_result.records[index];
        engine.waiting.erase(index);
        engine.residency->acquire(queued->adapter, queued->requestClass, now);
        const Duration firstToken = engine.batch->start(static_cast<int>(index), record.request.adapter,
            record.request.promptTokens, m_requests[index].remainingTokens);
        if (!record.firstTokenAt)
            record.firstTokenAt = now + firstToken;
    }
}

void PlacementSimulation::sendOrder(size_t number, const AdapterOrder& order)
{
    Engine& engine = *m_engines[number];
    const int boots = engine.boots;
    if (order.takesLoadPermit) {
        m_limiter.take(m_scheduler.now());
        engine.loadPriority.recordLoad(order.requestClass);
    }
    if (order.kind == AdapterOrder::Kind::Evict) {
        ++m_result.evictions;
        m_scheduler.runAfter(evictTime, [this, number, order, boots] {
            if (m_engines[number]->boots != boots || !m_engines[number]->up)
                return;
            m_engines[number]->residency->finished(order, OrderResult::Done, m_scheduler.now());
            pump(number);
        });
        return;
    }
    ++m_result.loads;
    for (const size_t index : engine.waiting) {
        const int adapter = m_result.records[index].request.adapter;
        if (m_adapters[static_cast<size_t>(adapter)] == order.adapter)
            m_result.records[index].stalled = true;
    }
    const bool failed = m_scenario == TraceScenario::LoadFailures && m_random.chance(loadFailureRate);
    const Duration duration = m_limiter.begin(loadTime);
    m_scheduler.runAfter(duration, [this, number, order, failed, boots] {
        m_limiter.end();
        if (m_engines[number]->boots == boots && m_engines[number]->up)
            loadEnded(number, order, failed);
    });
}

void PlacementSimulation::loadEnded(size_t number, const AdapterOrder& order, bool failed)
{
    Engine& engine = *m_engines[number];
    const MonotonicTime now = m_scheduler.now();
    engine.residency->finished(order, failed ? OrderResult::Failed : OrderResult::Done, now);
    if (failed) {
        moveWaiters(number, order.adapter);
        pump(number);
        return;
    }
    const int adapter = m_adapterNumbers.at(order.adapter);
    for (const size_t index : engine.waiting) {
        PlacementRecord& record = m_result.records[index];
        if (record.request.adapter == adapter)
            record.loadedAt = now;
    }
    pump(number);
}

void PlacementSimulation::moveWaiters(size_t number, const AdapterKey& adapter)
{
    Engine& engine = *m_engines[number];
    const int wanted = m_adapterNumbers.at(adapter);
    std::vector<size_t> moving;
    for (const size_t index : engine.waiting) {
        const PlacementRecord& record = m_result.records[index];
        if (record.request.adapter == wanted && record.moves < maximumMoves)
            moving.push_back(index);
    }
    for (const size_t index : moving) {
        engine.queue->erase(QueuedRequestId(static_cast<int64_t>(index)));
        engine.waiting.erase(index);
        retryElsewhere(index, number);
    }
}

void PlacementSimulation::requestDone(size_t number, size_t index)
{
    Engine& engine = *m_engines[number];
    const MonotonicTime now = m_scheduler.now();
    PlacementRecord& record = m_result.records[index];
    record.finishedAt = now;
    const AdapterKey& adapter = m_adapters[static_cast<size_t>(record.request.adapter)];
    engine.residency->release(adapter, record.request.requestClass, now);
    const int served = record.request.promptTokens + m_requests[index].remainingTokens;
    engine.queue->settle(QueuedRequestId(static_cast<int64_t>(index)), Tokens(served));
    Entry& entry = *m_entries[m_requests[index].entry];
    entry.selector->finished(engine.id, now);
    entry.health.recordSuccess(engine.id, now);
    m_requests[index].engine.reset();
    pump(number);
}

void PlacementSimulation::expire(size_t number)
{
    Engine& engine = *m_engines[number];
    const MonotonicTime now = m_scheduler.now();
    const auto leastWait = [&](const AdapterKey& adapter) {
        const auto retryAt = engine.residency->retryAt(adapter, now);
        return retryAt ? *retryAt - now : Duration::zero();
    };
    for (const QueuedRequest& queued : engine.queue->expire(now, leastWait)) {
        const auto index = static_cast<size_t>(queued.id.value());
        engine.waiting.erase(index);
        refuse(index, "deadline_exceeded");
    }
}

void PlacementSimulation::tick()
{
    const size_t count = m_engines.size();
    m_firstToPump = (m_firstToPump + 1) % count;
    for (size_t i = 0; i < count; ++i) {
        const size_t number = (m_firstToPump + i) % count;
        if (m_engines[number]->waiting.empty())
            continue;
        if (m_firstToPump == 0)
            expire(number);
        pump(number);
    }
    m_scheduler.runAfter(tickInterval, [this] { tick(); });
}

void PlacementSimulation::report()
{
    for (size_t number = 0; number < m_engines.size(); ++number) {
        Engine& engine = *m_engines[number];
        if (!engine.up)
            continue;
        UpstreamView reported;
        reported.running = static_cast<int>(engine.batch->running());
        const auto isReady = [&](const AdapterKey& adapter, RequestClass requestClass) {
            return engine.residency->isReady(adapter, requestClass);
        };
        reported.queued = static_cast<int>(engine.queue->readyCount(RequestClass::Interactive, isReady));
        reported.queuedBatch = static_cast<int>(engine.queue->readyCount(RequestClass::Batch, isReady));
        reported.reportedAt = m_scheduler.now();
        reported.evictionCost = engine.residency->evictionCost(*engine.queue, m_scheduler.now());
        for (const AdapterKey& adapter : engine.residency->resident())
            reported.resident.insert(adapter);
        const std::string bootId = std::to_string(engine.boots);
        m_scheduler.runAfter(reportDelay, [this, number, reported, bootId] {
            for (const auto& entry : m_entries) {
                UpstreamView& view = entry->views[number];
                view.running = reported.running;
                view.queued = reported.queued;
                view.queuedBatch = reported.queuedBatch;
                view.reportedAt = reported.reportedAt;
                view.resident = reported.resident;
                view.evictionCost = reported.evictionCost;
                entry->health.recordBootId(view.upstream, bootId, m_scheduler.now());
            }
        });
    }
    m_scheduler.runAfter(reportInterval, [this] { report(); });
}

void PlacementSimulation::restartOne()
{
    const size_t number = m_random.below(m_engines.size());
    Engine& engine = *m_engines[number];
    const MonotonicTime now = m_scheduler.now();
    m_scheduler.runAfter(minutes(2), [this] { restartOne(); });
    if (!engine.up)
        return;
    engine.up = false;
    std::vector<size_t> moving(engine.waiting.begin(), engine.waiting.end());
    for (const size_t index : moving)
        engine.queue->erase(QueuedRequestId(static_cast<int64_t>(index)));
    engine.waiting.clear();
    for (const auto& [request, left] : engine.batch->stop()) {
        const auto index = static_cast<size_t>(request);
        const PlacementRecord& record = m_result.records[index];
        const int served = m_requests[index].remainingTokens - left;
        engine.queue->settle(QueuedRequestId(request), Tokens(served));
        engine.residency->release(
            m_adapters[static_cast<size_t>(record.request.adapter)], record.request.requestClass, now);
        m_requests[index].remainingTokens = left;
        m_entries[m_requests[index].entry]->health.recordFailure(engine.id, now);
        moving.push_back(index);
    }
    for (const size_t index : moving)
        retryElsewhere(index, number);
    m_scheduler.runAfter(bootTime, [this, number] { boot(number); });
}

void PlacementSimulation::boot(size_t number)
{
    Engine& engine = *m_engines[number];
    engine.up = true;
    ++engine.boots;
    EngineStatus status;
    status.bootId = std::to_string(engine.boots);
    engine.residency->observe(status, m_scheduler.now());
}

void PlacementSimulation::resetSums()
{
    for (const auto& engine : m_engines)
        engine->batch->resetSums();
}

} // namespace lacewing
