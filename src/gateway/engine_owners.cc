#include "gateway/engine_owners.h"

#include "base/log.h"

namespace lacewing::gateway {

EngineOwners::EngineOwners(Scheduler& scheduler, EngineControl& control, const UpstreamDirectory& upstreams,
    const ConfigurationTracker& configuration, HostId self, Handlers handlers)
    : m_scheduler(scheduler)
    , m_control(control)
    , m_upstreams(upstreams)
    , m_configuration(configuration)
    , m_self(std::move(self))
    , m_handlers(std::move(handlers))
{
}

EngineOwners::~EngineOwners()
{
    for (const auto& [engine, owned] : m_engines)
        m_scheduler.cancel(owned.timer);
}

EngineOwners::Owned* EngineOwners::find(const UpstreamId& engine)
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? nullptr : &found->second;
}

std::optional<EngineLimits> EngineOwners::limitsOf(const UpstreamEntry& entry) const
{
    const auto configuration = m_configuration.current();
    const ServiceConfiguration* service = configuration ? configuration->findService(entry.service) : nullptr;
    return service ? service->engine : std::nullopt;
}

void EngineOwners::claimed(const UpstreamId& engine, FencingNumber fencingNumber)
{
    Owned& owned = m_engines[engine];
    owned.fencingNumber = fencingNumber;
    startScheduler(engine, owned);
}

void EngineOwners::startScheduler(const UpstreamId& engine, Owned& owned)
{
    owned.generation = m_nextGeneration++;
    if (const auto former = std::move(owned.scheduler))
        denyWaiting(*former, RunRefusal::EngineUnusable);
    const UpstreamEntry* entry = m_upstreams.find(engine);
    const auto limits = entry ? limitsOf(*entry) : std::nullopt;
    if (!limits)
        return;
    owned.startedAt = entry->startedAt;
    owned.scheduler = std::make_unique<EngineScheduler>(engine, *limits, m_loads);
    for (const auto& [adapter, version] : m_configuration.releases())
        owned.scheduler->setRelease(adapter, version);
    carryOut(engine);
}

void EngineOwners::lost(const UpstreamId& engine)
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end())
        return;
    m_scheduler.cancel(found->second.timer);
    const auto scheduler = std::move(found->second.scheduler);
    m_engines.erase(found);
    if (scheduler)
        denyWaiting(*scheduler, RunRefusal::NotOwner);
}

void EngineOwners::denyWaiting(const EngineScheduler& scheduler, RunRefusal reason)
{
    for (const RunKey& key : scheduler.waitingRuns())
        m_handlers.onDenial({ key, reason });
}

void EngineOwners::request(const UpstreamId& engine, RunRequest request)
{
    Owned* owned = find(engine);
    if (!owned || !owned->scheduler) {
        m_handlers.onDenial({ request.key, RunRefusal::NotOwner });
        return;
    }
    const UpstreamEntry* entry = m_upstreams.findUsable(engine);
    if (!entry) {
        m_handlers.onDenial({ request.key, RunRefusal::EngineLeaving });
        return;
    }
    owned->scheduler->request(std::move(request), m_scheduler.now());
    carryOut(engine);
}

void EngineOwners::runProgressed(const UpstreamId& engine, const RunKey& key)
{
    Owned* owned = find(engine);
    if (!owned || !owned->scheduler)
        return;
    owned->scheduler->runProgressed(key, m_scheduler.now());
    // The engine may have read all that it had.
    if (owned->scheduler->hasWaitingRuns())
        carryOut(engine);
}

void EngineOwners::runEnded(const UpstreamId& engine, const RunKey& key, RunEnding ending)
{
    Owned* owned = find(engine);
    if (!owned || !owned->scheduler)
        return;
    owned->scheduler->runEnded(key, ending, m_scheduler.now());
    carryOut(engine);
}

void EngineOwners::hostLost(const HostId& host)
{
    std::vector<UpstreamId> engines;
    for (const auto& [engine, owned] : m_engines)
        engines.push_back(engine);
    for (const UpstreamId& engine : engines) {
        Owned* owned = find(engine);
        if (!owned || !owned->scheduler)
            continue;
        owned->scheduler->hostLost(host, m_scheduler.now());
        carryOut(engine);
    }
}

void EngineOwners::released(const AdapterRelease& release)
{
    for (auto& [engine, owned] : m_engines) {
        if (owned.scheduler)
            owned.scheduler->setRelease({ release.model, release.adapter }, release.version);
    }
    refresh();
}

void EngineOwners::refresh()
{
    std::vector<UpstreamId> engines;
    for (const auto& [engine, owned] : m_engines)
        engines.push_back(engine);
    for (const UpstreamId& engine : engines) {
        Owned* owned = find(engine);
        const UpstreamEntry* entry = m_upstreams.find(engine);
        if (!owned || !entry)
            continue;
        const bool hasRestarted = owned->startedAt != entry->startedAt;
        if (!owned->scheduler || hasRestarted) {
            startScheduler(engine, *owned);
            continue;
        }
        if (const auto limits = limitsOf(*entry))
            owned->scheduler->setLimits(*limits);
        carryOut(engine);
    }
}

std::vector<EngineSummary> EngineOwners::summaries() const
{
    std::vector<EngineSummary> summaries;
    for (const auto& [engine, owned] : m_engines) {
        if (owned.scheduler)
            summaries.push_back(owned.scheduler->summary(m_scheduler.now()));
    }
    return summaries;
}

std::optional<EngineSummary> EngineOwners::summary(const UpstreamId& engine) const
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || !found->second.scheduler)
        return std::nullopt;
    return found->second.scheduler->summary(m_scheduler.now());
}

bool EngineOwners::hasCopy(const UpstreamId& engine, const AdapterRef& adapter) const
{
    const auto found = m_engines.find(engine);
    return found != m_engines.end() && found->second.scheduler && found->second.scheduler->hasCopy(adapter);
}

void EngineOwners::carryOut(const UpstreamId& engine)
{
    Owned* owned = find(engine);
    if (!owned || !owned->scheduler)
        return;
    const SchedulerDecisions decisions = owned->scheduler->decide(m_scheduler.now());
    m_scheduler.cancel(std::exchange(owned->timer, 0));
    if (decisions.lookAgainAfter)
        owned->timer = m_scheduler.runAfter(*decisions.lookAgainAfter, [this, engine] {
            if (Owned* owned = find(engine))
                owned->timer = 0;
            carryOut(engine);
        });
    if (decisions.wantsReport)
        askReport(engine);
    if (decisions.order)
        giveOrder(engine, *decisions.order);
    // Last, because the receivers may change the set of engines.
    const EngineSummary summary
        = decisions.denials.empty() ? EngineSummary() : owned->scheduler->summary(m_scheduler.now());
    for (const RunDenial& denial : decisions.denials) {
        LogEvent(LogLevel::Info, "run_denied")
            .with("engine", engine)
            .with("asker", denial.key.host)
            .with("run", denial.key.run)
            .with("reason", toString(denial.reason))
            .with("expected_wait_ms", toMilliseconds(denial.expectedWait))
            .with("backlog_ms", toMilliseconds(summary.prefillBacklog))
            .with("running", summary.running)
            .with("waiting", summary.waiting)
            .with("open_places", summary.openPlaces)
            .with("load_limit", m_loads.limit());
        m_handlers.onDenial(denial);
    }
    for (const RunGrant& grant : decisions.grants)
        m_handlers.onGrant(grant);
}

void EngineOwners::giveOrder(const UpstreamId& engine, const PlannedOrder& planned)
{
    Owned& owned = m_engines.at(engine);
    const uint64_t generation = owned.generation;
    const UpstreamEntry* entry = m_upstreams.find(engine);
    if (!entry || !m_handlers.mayOrder()) {
        m_scheduler.runAfter(Duration::zero(), m_lifetime.guard([this, engine, generation] {
            orderAnswered(engine, generation, OrderOutcome::Unknown);
        }));
        return;
    }
    AdapterOrder order;
    order.action = planned.action;
    order.model = planned.adapter.model;
    order.adapter = planned.adapter.adapter;
    order.expectedSequence = planned.expectedSequence;
    order.holder = m_self;
    order.fencingNumber = owned.fencingNumber;
    ++m_openOrders;
    m_control.order({ engine, entry->address }, order,
        m_lifetime.guard([this, engine, generation, order](OrderOutcome outcome) {
            --m_openOrders;
            LogEvent(LogLevel::Info, "engine_order")
                .with("engine", engine)
                .with("action", order.action == AdapterOrder::Action::Load ? "load" : "unload")
                .with("adapter", order.adapter)
                .with("sequence", order.expectedSequence)
                .with("fencing_number", order.fencingNumber)
                .with("outcome", toString(outcome));
            orderAnswered(engine, generation, outcome);
        }));
}

void EngineOwners::orderAnswered(const UpstreamId& engine, uint64_t generation, OrderOutcome outcome)
{
    Owned* owned = find(engine);
    if (!owned || owned->generation != generation || !owned->scheduler)
        return;
    owned->scheduler->orderAnswered(outcome, m_scheduler.now());
    if (outcome == OrderOutcome::Fenced) {
        m_handlers.onFenced(engine);
        return;
    }
    carryOut(engine);
}

void EngineOwners::askReport(const UpstreamId& engine)
{
    const uint64_t generation = m_engines.at(engine).generation;
    const UpstreamEntry* entry = m_upstreams.find(engine);
    auto callback = [this, engine, generation](const std::optional<EngineReport>& report) {
        Owned* owned = find(engine);
        if (!owned || owned->generation != generation || !owned->scheduler)
            return;
        owned->scheduler->reportArrived(report, m_scheduler.now());
        carryOut(engine);
    };
    if (entry)
        m_control.report({ engine, entry->address }, m_lifetime.guard(callback));
    else
        m_scheduler.runAfter(Duration::zero(), m_lifetime.guard([callback] { callback(std::nullopt); }));
}

} // namespace lacewing::gateway
