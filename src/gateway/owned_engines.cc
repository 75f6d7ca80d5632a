#include "gateway/owned_engines.h"

#include "base/log.h"

namespace lacewing::gateway {

OwnedEngines::OwnedEngines(Scheduler& scheduler, EngineControl& control, const UpstreamDirectory& upstreams,
    const ConfigurationTracker& configuration, HostId self, Handlers handlers)
    : m_scheduler(scheduler)
    , m_control(control)
    , m_upstreams(upstreams)
    , m_configuration(configuration)
    , m_self(std::move(self))
    , m_handlers(std::move(handlers))
{
}

OwnedEngines::~OwnedEngines()
{
    for (const auto& [engine, owned] : m_engines)
        m_scheduler.cancel(owned.timer);
}

OwnedEngines::OwnedEngine* OwnedEngines::find(const UpstreamId& engine)
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? nullptr : &found->second;
}

std::optional<EngineLimits> OwnedEngines::limitsOf(const UpstreamEntry& entry) const
{
    const auto configuration = m_configuration.current();
    const ServiceConfiguration* service = configuration ? configuration->findService(entry.service) : nullptr;
    return service ? service->engine : std::nullopt;
}

void OwnedEngines::claimed(const UpstreamId& engine, FencingNumber fencingNumber)
{
    OwnedEngine& owned = m_engines[engine];
    owned.fencingNumber = fencingNumber;
    startScheduler(engine, owned);
}

void OwnedEngines::renumbered(const UpstreamId& engine, FencingNumber fencingNumber)
{
    if (OwnedEngine* owned = find(engine))
        owned->fencingNumber = fencingNumber;
}

void OwnedEngines::startScheduler(const UpstreamId& engine, OwnedEngine& owned)
{
    owned.generation = m_nextGeneration++;
    std::optional<speed::LearnedSpeed> speed;
    if (const auto former = std::move(owned.scheduler)) {
        denyWaiting(*former, RunRefusal::EngineUnusable);
        speed = former->learnedSpeed(m_scheduler.now());
    }
    const UpstreamEntry* entry = m_upstreams.find(engine);
    const auto limits = entry ? limitsOf(*entry) : std::nullopt;
    if (!limits)
        return;
    owned.startedAt = entry->startedAt;
    owned.scheduler = std::make_unique<EngineScheduler>(engine, *limits, m_fetchLimiter);
    owned.scheduler->setOverloadPolicy(m_overloadPolicy);
    for (const auto& [adapter, version] : m_configuration.releases())
        owned.scheduler->setRelease(adapter, version);
    owned.scheduler->setRequestRate(m_handlers.requestRate(engine), m_scheduler.now());
    if (!speed && m_handlers.formerSpeed)
        speed = m_handlers.formerSpeed(engine);
    if (speed)
        owned.scheduler->seedSpeed(*speed, m_scheduler.now());
    applyAvailability(*entry, *owned.scheduler);
    applyDecisions(engine);
}

void OwnedEngines::applyAvailability(const UpstreamEntry& entry, EngineScheduler& scheduler) const
{
    scheduler.setLeaving(m_upstreams.findUsable(entry.id) == nullptr);
    scheduler.setRestEnd(m_upstreams.availability().restEnd(entry.id, entry.startedAt, m_scheduler.now()));
}

void OwnedEngines::lost(const UpstreamId& engine)
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

void OwnedEngines::denyWaiting(const EngineScheduler& scheduler, RunRefusal reason)
{
    for (const RunKey& key : scheduler.waitingRuns())
        m_handlers.onDenial({ key, reason });
}

void OwnedEngines::request(const UpstreamId& engine, RunRequest request)
{
    OwnedEngine* owned = find(engine);
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
    applyDecisions(engine);
}

void OwnedEngines::runProgressed(const UpstreamId& engine, const RunKey& key, std::optional<double> slowdown)
{
    OwnedEngine* owned = find(engine);
    if (!owned || !owned->scheduler)
        return;
    owned->scheduler->runProgressed(key, m_scheduler.now(), slowdown);
    // The engine may have become idle, which admits further prompts.
    if (owned->scheduler->hasWaitingRuns())
        applyDecisions(engine);
}

void OwnedEngines::runEnded(const UpstreamId& engine, const RunKey& key, RunEnding ending)
{
    OwnedEngine* owned = find(engine);
    if (!owned || !owned->scheduler)
        return;
    owned->scheduler->runEnded(key, ending, m_scheduler.now());
    applyDecisions(engine);
}

std::vector<UpstreamId> OwnedEngines::ownedIds() const
{
    std::vector<UpstreamId> engines;
    for (const auto& [engine, owned] : m_engines)
        engines.push_back(engine);
    return engines;
}

void OwnedEngines::hostLost(const HostId& host)
{
    for (const UpstreamId& engine : ownedIds()) {
        OwnedEngine* owned = find(engine);
        if (!owned || !owned->scheduler)
            continue;
        owned->scheduler->hostLost(host, m_scheduler.now());
        applyDecisions(engine);
    }
}

void OwnedEngines::released(const AdapterRelease& release)
{
    for (auto& [engine, owned] : m_engines) {
        if (owned.scheduler)
            owned.scheduler->setRelease({ release.model, release.adapter }, release.version);
    }
    refresh();
}

void OwnedEngines::refresh()
{
    for (const UpstreamId& engine : ownedIds()) {
        OwnedEngine* owned = find(engine);
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
        applyAvailability(*entry, *owned->scheduler);
        applyDecisions(engine);
    }
}

void OwnedEngines::requestRateChanged(const UpstreamId& engine)
{
    OwnedEngine* owned = find(engine);
    if (!owned || !owned->scheduler)
        return;
    owned->scheduler->setRequestRate(m_handlers.requestRate(engine), m_scheduler.now());
    if (owned->scheduler->hasWaitingRuns())
        applyDecisions(engine);
}

void OwnedEngines::requestRatesChanged()
{
    for (const UpstreamId& engine : ownedIds())
        requestRateChanged(engine);
}

std::vector<EngineSummary> OwnedEngines::summaries() const
{
    std::vector<EngineSummary> summaries;
    for (const auto& [engine, owned] : m_engines) {
        if (owned.scheduler)
            summaries.push_back(owned.scheduler->summary(m_scheduler.now()));
    }
    return summaries;
}

std::optional<EngineSummary> OwnedEngines::summary(const UpstreamId& engine) const
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || !found->second.scheduler)
        return std::nullopt;
    return found->second.scheduler->summary(m_scheduler.now());
}

std::optional<affinity::SharedPrefixes> OwnedEngines::sharedPrefixes(const UpstreamId& engine) const
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || !found->second.scheduler)
        return std::nullopt;
    return found->second.scheduler->sharedPrefixes();
}

void OwnedEngines::addPrefixes(std::vector<EngineSummary>& summaries, bool isForAll)
{
    for (EngineSummary& summary : summaries) {
        OwnedEngine* owned = find(summary.engine);
        if (!owned || !owned->scheduler)
            continue;
        const affinity::SharedPrefixes shared = owned->scheduler->sharedPrefixes();
        summary.prefixes = isForAll ? owned->prefixes.stateToAll(shared, m_scheduler.now())
                                    : owned->prefixes.stateToNewPeer(shared);
        if (!isForAll || !summary.prefixes->digest)
            continue;
        LogEvent(LogLevel::Info, "prefix_digest_sent")
            .with("engine", summary.engine)
            .with("prefixes", summary.prefixes->digest->size())
            .with("memory_fill", summary.prefixes->memoryFill);
    }
}

bool OwnedEngines::hasCopy(const UpstreamId& engine, const AdapterRef& adapter) const
{
    const auto found = m_engines.find(engine);
    return found != m_engines.end() && found->second.scheduler && found->second.scheduler->hasCopy(adapter);
}

void OwnedEngines::applyDecisions(const UpstreamId& engine)
{
    OwnedEngine* owned = find(engine);
    if (!owned || !owned->scheduler)
        return;
    const SchedulerDecisions decisions = owned->scheduler->decide(m_scheduler.now());
    m_scheduler.cancel(std::exchange(owned->timer, 0));
    if (decisions.reevaluateAfter)
        owned->timer = m_scheduler.runAfter(*decisions.reevaluateAfter, [this, engine] {
            if (OwnedEngine* owned = find(engine))
                owned->timer = 0;
            applyDecisions(engine);
        });
    if (decisions.needsReport)
        requestReport(engine);
    if (decisions.order)
        sendOrder(engine, *decisions.order);
    // Handlers run last because they may change the set of engines.
    const EngineSummary summary
        = decisions.denials.empty() ? EngineSummary() : owned->scheduler->summary(m_scheduler.now());
    for (const RunDenial& denial : decisions.denials) {
        LogEvent(LogLevel::Info, "run_denied")
            .with("engine", engine)
            .with("priority", denial.priority ? std::to_string(*denial.priority) : "")
            .with("displaced", denial.isDisplaced)
            .with("asker", denial.key.host)
            .with("run", denial.key.run)
            .with("reason", toString(denial.reason))
            .with("expected_wait_ms", toMilliseconds(denial.expectedWait))
            .with("backlog_ms", toMilliseconds(summary.prefillBacklog))
            .with("running", summary.running)
            .with("waiting", summary.waiting)
            .with("open_places", summary.openSlots)
            .with("load_limit", m_fetchLimiter.limit());
        m_handlers.onDenial(denial);
    }
    for (const RunGrant& grant : decisions.grants)
        m_handlers.onGrant(grant);
}

void OwnedEngines::sendOrder(const UpstreamId& engine, const PlannedOrder& planned)
{
    OwnedEngine& owned = m_engines.at(engine);
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
    ++m_outstandingOrders;
    m_handlers.onEngineRequest(engine, "order");
    m_control.order({ engine, entry->address, entry->startedAt }, order,
        m_lifetime.guard([this, engine, generation, order](OrderOutcome outcome) {
            --m_outstandingOrders;
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

void OwnedEngines::orderAnswered(const UpstreamId& engine, uint64_t generation, OrderOutcome outcome)
{
    OwnedEngine* owned = find(engine);
    if (!owned || owned->generation != generation || !owned->scheduler)
        return;
    owned->scheduler->orderAnswered(outcome, m_scheduler.now());
    if (outcome == OrderOutcome::Fenced) {
        m_handlers.onFenced(engine);
        return;
    }
    applyDecisions(engine);
}

void OwnedEngines::requestReport(const UpstreamId& engine)
{
    const uint64_t generation = m_engines.at(engine).generation;
    const UpstreamEntry* entry = m_upstreams.find(engine);
    auto callback = [this, engine, generation](const std::optional<EngineReport>& report) {
        OwnedEngine* owned = find(engine);
        if (!owned || owned->generation != generation || !owned->scheduler)
            return;
        owned->scheduler->reportArrived(report, m_scheduler.now());
        applyDecisions(engine);
    };
    if (entry) {
        m_handlers.onEngineRequest(engine, "report");
        m_control.report({ engine, entry->address, entry->startedAt }, m_lifetime.guard(callback));
    } else
        m_scheduler.runAfter(Duration::zero(), m_lifetime.guard([callback] { callback(std::nullopt); }));
}

} // namespace lacewing::gateway
