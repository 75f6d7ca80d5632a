#include "daemon/engine_owner.h"

#include "base/log.h"
#include "coordination/adapter_name.h"
#include "coordination/cost_aware_eviction.h"
#include "coordination/fair_request_queue.h"
#include "state/refusal.h"

namespace lacewing {

namespace {

constexpr Duration statusInterval = std::chrono::seconds(1);
constexpr Duration statusRetryDelay = std::chrono::milliseconds(200);
/// Deadline of an evict order. Orders are sent only if the lease is valid for at least this long.
constexpr Duration evictDeadline = std::chrono::seconds(2);
/// Deadline of a load order. It may exceed the lease, because a late load costs at most an adapter slot.
constexpr Duration loadDeadline = std::chrono::seconds(20);
/// Queued requests for an adapter whose load failed are rejected if the next attempt is further away than
/// this.
constexpr Duration maximumLoadBackoff = std::chrono::seconds(2);
/// Maximum share of an engine's concurrency for batch requests.
constexpr double batchConcurrencyShare = 0.625;
/// Share of an engine's adapter slots that batch requests may not pin.
constexpr double interactiveSlotShare = 0.625;
constexpr double secondsPerMegasecond = 1e6;
/// Reported in place of an infinite cost, when the engine has no adapter that can be evicted.
constexpr double maximumEvictionCost = 1e6;

std::unique_ptr<RequestQueue> makeQueue(const UpstreamConfig& config)
{
    FairRequestQueue::Options options;
    options.maximumBatchRunning
        = std::max<size_t>(1, static_cast<size_t>(config.maximumConcurrency * batchConcurrencyShare));
    return std::make_unique<FairRequestQueue>(options);
}

AdapterResidency::Options residencyOptions(const UpstreamConfig& config, FencingNumber fencingNumber)
{
    AdapterResidency::Options options;
    options.slots = static_cast<size_t>(std::max(1, config.adapterSlots));
    options.fence = fencingNumber;
    options.checksFencing = config.checksFencing;
    options.interactiveSlots = static_cast<size_t>(config.adapterSlots * interactiveSlotShare);
    options.seed = std::hash<UpstreamId>()(config.id);
    return options;
}

OrderResult resultOf(const std::optional<EngineOrderError>& error)
{
    if (!error)
        return OrderResult::Done;
    switch (*error) {
    case EngineOrderError::StaleFencingNumber:
        return OrderResult::StaleFence;
    case EngineOrderError::NoFreeSlot:
        return OrderResult::NoFreeSlot;
    case EngineOrderError::NotLoaded:
        // Only evict orders get this error, and the adapter is already absent.
        return OrderResult::Done;
    case EngineOrderError::LoadFailed:
    case EngineOrderError::NotSent:
        return OrderResult::Failed;
    case EngineOrderError::Unknown:
        return OrderResult::Lost;
    }
    return OrderResult::Lost;
}

} // namespace

EngineOwner::EngineOwner(OwnerContext context, const UpstreamConfig& config, SocketAddress address,
    FencingNumber fencingNumber, LeaseCheck mayAct, AdapterLoadLimiter& loadLimiter,
    std::function<void()> superseded)
    : UpstreamOwner(context, config, makeQueue(config), std::move(mayAct))
    , m_address(std::move(address))
    , m_fencingNumber(fencingNumber)
    , m_loadLimiter(loadLimiter)
    , m_superseded(std::move(superseded))
    , m_engine(context.client, context.callIds, m_address)
    , m_residency(residencyOptions(config, fencingNumber),
          std::make_unique<CostAwareEviction>(CostAwareEviction::Options()))
{
    scheduleStatusRead(Duration::zero());
}

EngineOwner::~EngineOwner()
{
    context().scheduler.cancel(m_statusTimer);
}

UpstreamReport EngineOwner::report() const
{
    UpstreamReport report = UpstreamOwner::report();
    const auto ready = [this](const AdapterKey& adapter, RequestClass requestClass) {
        return isReady(adapter, requestClass);
    };
    report.queued = static_cast<int64_t>(queue().readyCount(RequestClass::Interactive, ready));
    report.queuedBatch = static_cast<int64_t>(queue().readyCount(RequestClass::Batch, ready));
    const double cost = std::min(m_residency.evictionCost(queue(), now()), maximumEvictionCost);
    report.evictionCostPerMegasecond = static_cast<int64_t>(cost * secondsPerMegasecond);
    for (const AdapterKey& adapter : m_residency.resident())
        report.residents.push_back(AdapterName { adapter, std::nullopt }.toString());
    return report;
}

bool EngineOwner::isReady(const AdapterKey& adapter, RequestClass requestClass) const
{
    return m_hasStatus && m_residency.isReady(adapter, requestClass);
}

bool EngineOwner::acquire(const QueuedRequest& request)
{
    return m_residency.acquire(request.adapter, request.requestClass, now());
}

void EngineOwner::release(const QueuedRequest& request)
{
    m_residency.release(request.adapter, request.requestClass, now());
}

std::unique_ptr<UpstreamRun> EngineOwner::makeRun(const RunRequest& request, UpstreamRun::Listener listener)
{
    const UpstreamTarget target { config().id, m_address,
        m_residency.nameOf({ request.adapter, request.version }), upstreamProgressTimeout,
        context().callIds.next() };
    return makeEngineRun(context().client, target, request, std::move(listener));
}

Duration EngineOwner::minimumWait(const AdapterKey& adapter) const
{
    const auto retry = m_residency.retryAt(adapter, now());
    return retry ? *retry - now() : Duration::zero();
}

void EngineOwner::requestsChanged()
{
    sendOrders();
}

void EngineOwner::scheduleStatusRead(Duration delay)
{
    context().scheduler.cancel(m_statusTimer);
    m_statusTimer = context().scheduler.runAfter(delay, [this] {
        m_statusTimer = 0;
        readStatus();
    });
}

void EngineOwner::readStatus()
{
    m_engine.readStatus([this, askedAt = now()](const auto& status) { statusRead(status, askedAt); });
}

void EngineOwner::statusRead(const std::optional<EngineStatus>& status, MonotonicTime askedAt)
{
    scheduleStatusRead(status ? statusInterval : statusRetryDelay);
    m_statusFailures = status ? 0 : m_statusFailures + 1;
    if (!isReachable())
        refuseAllWaiting(refusal::upstreamUnreachable, statusInterval);
    if (!status)
        return;
    if (m_residency.observe(*status, askedAt)) {
        ++context().metrics.counter("lacewing_engine_restarts_total");
        LogEvent(LogLevel::Warning, "engine_restarted")
            .with("upstream", config().id)
            .with("boot_id", status->bootId);
    }
    if (m_residency.superseded())
        return m_superseded();
    m_hasStatus = true;
    startWaiting();
    sendOrders();
}

void EngineOwner::sendOrders()
{
    if (!m_hasStatus || !mayAct(evictDeadline))
        return;
    const auto mayLoad = [this](RequestClass) { return m_loadLimiter.isPermitAvailable(); };
    while (const auto order = m_residency.nextOrder(now(), queue(), mayLoad))
        sendOrder(*order);
}

void EngineOwner::sendOrder(const AdapterOrder& order)
{
    const auto answered
        = [this, order](std::optional<EngineOrderError> error) { orderAnswered(order, error); };
    if (order.takesLoadPermit)
        m_loadLimiter.usePermit();
    if (order.kind == AdapterOrder::Kind::Evict) {
        ++context().metrics.counter("lacewing_adapter_evictions_total");
        m_engine.unload(order.name, m_fencingNumber, evictDeadline, answered);
        return;
    }
    ++context().metrics.counter("lacewing_adapter_loads_total");
    m_engine.load(order.name, config().baseModel, order.adapter, m_fencingNumber, loadDeadline, answered);
}

void EngineOwner::orderAnswered(const AdapterOrder& order, std::optional<EngineOrderError> error)
{
    const bool isLoad = order.kind == AdapterOrder::Kind::Load;
    if (isLoad)
        m_loadLimiter.finished();
    m_residency.finished(order, resultOf(error), now());
    if (error) {
        ++context().metrics.counter("lacewing_adapter_order_failures_total",
            { { "order", isLoad ? "load" : "evict" }, { "reason", toString(*error) } });
        LogEvent(LogLevel::Warning, "adapter_order_failed")
            .with("upstream", config().id)
            .with("order", isLoad ? "load" : "evict")
            .with("name", order.name)
            .with("reason", toString(*error));
    }
    if (m_residency.superseded())
        return m_superseded();
    if (isLoad && error) {
        const auto retry = m_residency.retryAt(order.adapter, now());
        if (retry && *retry - now() > maximumLoadBackoff)
            refuseWaiting(order.adapter, refusal::loadFailed, *retry - now());
    }
    startWaiting();
    sendOrders();
}

} // namespace lacewing
