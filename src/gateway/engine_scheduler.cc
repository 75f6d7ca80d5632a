#include "gateway/engine_scheduler.h"

#include <algorithm>
#include <limits>

namespace lacewing::gateway {

namespace {

/// Concurrent adapter loads per engine.
constexpr int maximumLoads = 4;
constexpr Duration reportInterval = std::chrono::milliseconds(120);
constexpr Duration orderRetryInterval = std::chrono::milliseconds(30);
constexpr int maximumRetryDoublings = 4;
/// An engine that still reports a lower sequence after this time has restarted.
constexpr Duration staleReportTime = std::chrono::milliseconds(600);
constexpr Duration modelReportInterval = std::chrono::milliseconds(250);
/// Consecutive unanswered calls after which the engine counts as unreachable.
constexpr int unreachableAfter = 4;
/// Ratio of the actual to the currently estimated prefill wait, since more urgent requests that arrive later
/// overtake.
constexpr double overtakingFactor = 1.6;
/// Interval at which waiting requests are re-evaluated.
constexpr Duration waitingPollInterval = std::chrono::milliseconds(25);
constexpr double turnoverWeight = 0.1;
/// Reading time of granted prompts beyond which requests of the same or a later level wait here, where they
/// can still be denied. Keeps the engine busy while a first event and the next grant are on their way.
constexpr Duration grantAhead = std::chrono::milliseconds(250);
/// A prompt counts as read after this multiple of its expected reading time and this margin, for the steps
/// until its first event.
constexpr int longestReadingFactor = 2;
constexpr Duration readingMargin = std::chrono::milliseconds(100);

/// Orders until an adapter that is being loaded can be used: to learn that it is loaded.
constexpr size_t ordersWhileLoading = 1;
/// Number of starts that the limit permits within which a deferred load must complete and be used.
constexpr int startsUntilDeferredLoadExpires = 4 * ordersForLoad;
/// An engine at its limit counts as unused after the longer of these times without a run.
constexpr Duration shortestUnusedTime = std::chrono::seconds(5);
constexpr int startsUntilUnused = 3;

/// Lower bound of the retry delay that a denial suggests.
constexpr Duration shortestRetryAfter = std::chrono::milliseconds(100);
constexpr Duration longestRetryAfter = std::chrono::seconds(2);

} // namespace

EngineScheduler::EngineScheduler(UpstreamId engine, EngineLimits limits, FetchLimiter& fetchLimiter)
    : m_engine(std::move(engine))
    , m_limits(limits)
    , m_fetchLimiter(fetchLimiter)
    , m_slots(fetchLimiter)
{
    m_slots.setCapacity(m_limits.adapterPlaces);
    m_prefixCache.setCapacity(m_limits.cacheTokens);
}

EngineScheduler::~EngineScheduler()
{
    m_fetchLimiter.forget(this);
}

void EngineScheduler::setLimits(const EngineLimits& limits)
{
    m_limits = limits;
    m_slots.setCapacity(limits.adapterPlaces);
    m_prefixCache.setCapacity(limits.cacheTokens);
}

void EngineScheduler::request(RunRequest request, MonotonicTime now)
{
    m_popularity.count(request.adapter, now);
    if (!isUsable()) {
        m_denials.push_back(
            denialOf(request, RunRefusal::EngineUnusable, shortestRetryAfter, Duration::zero()));
        return;
    }
    if (isPlanned()) {
        m_planner.arrived(request, now);
        m_waiting.push_back(std::move(request));
        planQueue(true, now);
        m_hasNewPlan = true;
        return;
    }
    const Duration wait = estimateStart(request, now);
    if (now + wait > request.latestStart) {
        m_denials.push_back(denialOf(request, RunRefusal::Overloaded,
            std::clamp(wait - (request.onTimeStart - now), shortestRetryAfter, longestRetryAfter), wait));
        return;
    }
    m_waiting.push_back(std::move(request));
}

void EngineScheduler::setLeaving(bool isLeaving)
{
    m_isLeaving = isLeaving;
    if (!m_isLeaving)
        return;
    denyAll(RunRefusal::EngineLeaving);
    m_slots.abandonFetches();
}

Duration EngineScheduler::restLeft(MonotonicTime now) const
{
    return m_restEnd ? std::max<Duration>(*m_restEnd - now, Duration::zero()) : Duration::zero();
}

bool EngineScheduler::isUsable() const
{
    return !m_isLeaving && m_unansweredCalls < unreachableAfter && !m_models.empty();
}

void EngineScheduler::callAnswered(bool isAnswered)
{
    m_unansweredCalls = isAnswered ? 0 : m_unansweredCalls + 1;
    if (m_unansweredCalls != unreachableAfter)
        return;
    denyAll(RunRefusal::EngineUnusable);
    m_slots.abandonFetches();
}

void EngineScheduler::denyAll(RunRefusal reason)
{
    for (const RunRequest& request : std::exchange(m_waiting, {}))
        m_denials.push_back(denialOf(request, reason, shortestRetryAfter, Duration::zero()));
}

void EngineScheduler::runProgressed(const RunKey& key, MonotonicTime now, std::optional<double> slowdown)
{
    if (slowdown)
        m_slowdown.reported(*slowdown, now);
    const GrantedRuns::Run* run = m_runs.progressed(key);
    if (!run)
        return;
    m_prefixCache.promptProcessed(run->request.adapter, run->request.parts);
    if (const auto time = m_prefillRate.promptProcessed(run->uncachedTokens, now, m_slowdown.current(now)))
        m_slowdown.runMeasured(*time, now);
}

void EngineScheduler::runEnded(const RunKey& key, RunEnding ending, MonotonicTime now)
{
    if (ending.slowdown)
        m_slowdown.reported(*ending.slowdown, now);
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(),
                        [&key](const RunRequest& waiting) { return waiting.key == key; }),
        m_waiting.end());
    const auto run = m_runs.remove(key);
    if (!run)
        return;
    m_planner.runEnded(now - run->grantedAt);
    if (m_slots.removeUser(run->request.adapter)) {
        const Duration since = std::min<Duration>(now - m_lastIdle, std::chrono::seconds(1));
        m_slotTurnover += std::chrono::duration_cast<Duration>(turnoverWeight * (since - m_slotTurnover));
        m_lastIdle = now;
    }
    if (run->hasProgressed)
        m_prefillPacer.streamEnded(ending.longestPause, run->request.targetPause);
    if (ending.outcome == RunOutcome::AdapterMissing)
        m_slots.markMissing(run->request.adapter, now);
}

void EngineScheduler::hostLost(const HostId& host, MonotonicTime now)
{
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(),
                        [&host](const RunRequest& waiting) { return waiting.key.host == host; }),
        m_waiting.end());
    for (const RunKey& key : m_runs.ofHost(host))
        runEnded(key, RunEnding(), now);
}

void EngineScheduler::orderAnswered(OrderOutcome outcome, MonotonicTime now)
{
    if (!m_order)
        return;
    const PlannedOrder order = *std::exchange(m_order, std::nullopt);
    callAnswered(outcome != OrderOutcome::Unknown);
    if (!needsSlot(order.adapter) && outcome != OrderOutcome::Unknown) {
        // Completion is learned from a report.
        m_isModelBusy = true;
        m_sequence.reset();
        m_nextReport = now + modelReportInterval;
        return;
    }
    switch (outcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::AlreadyHolds:
        m_failedOrders = 0;
        if (order.action == AdapterOrder::Action::Unload)
            m_prefixCache.forget(order.adapter);
        if (m_slots.orderTookEffect(order, outcome, now) && m_sequence)
            ++*m_sequence;
        break;
    case OrderOutcome::OutOfSequence:
        // An earlier order without an answer has been executed, or a model is being loaded.
        m_slots.orderWasRefused(order);
        m_minimumSequence = order.expectedSequence + 1;
        m_staleReportLimit = now + staleReportTime;
        m_sequence.reset();
        m_nextReport = now;
        break;
    case OrderOutcome::Invalid:
        m_slots.orderWasRefused(order);
        m_nextOrder = now + orderRetryInterval;
        break;
    case OrderOutcome::Unknown:
    case OrderOutcome::Fenced:
    case OrderOutcome::WrongInstance:
        // The order is retried with the same sequence, so the engine executes it at most once.
        m_nextOrder = now + orderRetryInterval * (1 << std::min(m_failedOrders, maximumRetryDoublings));
        ++m_failedOrders;
        break;
    }
}

void EngineScheduler::reportArrived(const std::optional<EngineReport>& report, MonotonicTime now)
{
    m_isReportPending = false;
    callAnswered(report.has_value());
    m_nextReport = now + (m_isModelBusy || !report ? modelReportInterval : reportInterval);
    if (!report)
        return;
    m_isModelBusy = report->isBusy;
    if (m_isModelBusy)
        return;
    if (report->orderSequence < m_minimumSequence && now < m_staleReportLimit)
        return;
    m_sequence = std::max(report->orderSequence, m_sequence.value_or(0));
    m_models.clear();
    for (const HeldModel& model : report->models)
        m_models.insert(model.model);
    m_slots.reported(*report, now);
}

SchedulerDecisions EngineScheduler::decide(MonotonicTime now)
{
    if (!isPlanned())
        RunQueuePlanner::sortByStart(m_waiting, now);
    else if (!std::exchange(m_hasNewPlan, false))
        planQueue(false, now);
    SchedulerDecisions decisions;
    decisions.denials = std::exchange(m_denials, {});
    grantRuns(decisions, now);
    denyHopeless(decisions, now);
    planOrder(decisions, now);
    m_fetchLimiter.setDemand(this, fetchDemand(now));
    if (!m_sequence && !m_isReportPending && !m_order && !m_isLeaving) {
        const Duration wait
            = std::max<Duration>({ m_nextReport - now, m_pacer.waitFor(0, now), restLeft(now) });
        if (wait <= Duration::zero()) {
            decisions.needsReport = true;
            m_isReportPending = true;
            m_pacer.started(now);
        } else
            decisions.reevaluateAfter = std::min(wait, modelReportInterval);
    }
    // An engine that can't be reached gets no requests that would cause a further evaluation.
    const bool isUnanswered = m_unansweredCalls > 0;
    const bool hasWork = !m_waiting.empty() || m_slots.loading() > 0 || m_deferredLoad || isUnanswered;
    if (hasWork && !decisions.reevaluateAfter)
        decisions.reevaluateAfter = waitingPollInterval;
    return decisions;
}

void EngineScheduler::planQueue(bool newcomer, MonotonicTime now)
{
    if (m_waiting.empty())
        return;
    // One rate for the whole queue: a short one is read at the present slowdown, a long one at the mean.
    const Tokens queued = queuedPrompts();
    const double slowdown = toSeconds(prefillTime(queued, now)) / toSeconds(m_prefillRate.timeFor(queued));
    const PrefillRate rate = m_prefillRate.slowedBy(slowdown);
    const RunQueuePlanner::Engine engine { m_runs.state(m_limits, rate.tokensPerMillisecond(),
                                               m_planner.runTime(), now),
        [this](const RunRequest& request) { return uncachedTokens(request); },
        [this, now](const RunRequest& request) { return readyAt(request, now); } };
    m_planner.plan(m_waiting, newcomer, engine, now, m_denials);
}

MonotonicTime EngineScheduler::readyAt(const RunRequest& request, MonotonicTime now) const
{
    if (!needsSlot(request.adapter) || isServable(request.adapter))
        return now;
    if (const auto loadEnd = m_slots.expectedLoadEnd(request.adapter))
        return std::max(now, *loadEnd);
    // The wait for a slot is estimated only on arrival: later it would count the request's own adapter.
    if (request.arrival == now)
        return now + expectedLoadWait(request, now);
    return now + m_slots.loadTime(request.adapter);
}

void EngineScheduler::grantRuns(SchedulerDecisions& decisions, MonotonicTime now)
{
    std::vector<RunRequest> remaining;
    // A ready request that lacks only room, or must wait for granted prompts, blocks those behind it, so that
    // short prompts do not starve a long one.
    bool isBlocked = false;
    // Once a prompt is held back by pacing, shorter prompts behind it must not overtake it.
    bool isPaced = false;
    const PrefillRate rate = rateNow(now);
    for (RunRequest& request : m_waiting) {
        const bool isIdle = m_runs.backlog() == Tokens(0);
        const bool isReady = isServable(request.adapter);
        const bool hasRoom = m_runs.hasCapacityFor(request, m_limits);
        const int level
            = isPlanned() ? RunQueuePlanner::level(request, now) : RunQueuePlanner::plainLevel(request, now);
        const bool mayBlock = isPlanned() && isReady && !isBlocked;
        const bool isBusy = mayBlock && rate.timeFor(m_runs.backlogBefore(level, now)) >= grantAhead;
        isBlocked = isBlocked || (mayBlock && (!hasRoom || isBusy));
        const bool canRun = isReady && !isBlocked && hasRoom;
        isPaced = isPaced
            || (canRun
                && !m_prefillPacer.admits(
                    uncachedTokens(request), isIdle, m_runs.shortestTargetPause(), rate, now));
        const bool isWithinLimit = m_pacer.waitFor(0, now) == Duration::zero();
        if (!canRun || isPaced || !isWithinLimit) {
            remaining.push_back(std::move(request));
            continue;
        }
        const Tokens prompt = uncachedTokens(request);
        decisions.grants.push_back({ request.key, RunQueuePlanner::urgency(level),
            m_slots.release(request.adapter), request.isReturn, request.prompt, request.prompt - prompt });
        if (needsSlot(request.adapter))
            m_slots.addUser(request.adapter);
        if (isIdle)
            m_prefillRate.busyPeriodStarted(now);
        m_prefillPacer.admitted(prompt, isIdle, rate, now);
        m_pacer.started(now);
        m_lastGrant = now;
        if (m_deferredLoad && m_deferredLoad->adapter == request.adapter)
            m_deferredLoad.reset();
        const Duration reading
            = rate.timeFor(m_runs.backlogBefore(overload::OverloadQueue::lateLevel, now) + prompt);
        m_runs.add(
            { std::move(request), prompt, now, level, now + longestReadingFactor * reading + readingMargin });
    }
    m_waiting = std::move(remaining);
}

// The waiting requests are in the order of their start. Orders count against the limit that the engine
// states, too.
void EngineScheduler::denyHopeless(SchedulerDecisions& decisions, MonotonicTime now)
{
    std::vector<RunRequest> remaining;
    std::set<AdapterRef> ordered;
    size_t ahead = 0;
    if (m_deferredLoad && (!m_pacer.isLimited() || now > m_deferredLoad->until))
        m_deferredLoad.reset();
    if (m_deferredLoad) {
        ahead = ordersUntilServable(m_deferredLoad->adapter);
        ordered.insert(m_deferredLoad->adapter);
    }
    for (RunRequest& request : m_waiting) {
        const size_t ordersNeeded = ordersUntilServable(request.adapter);
        const size_t orders = ordered.count(request.adapter) > 0 ? 0 : ordersNeeded;
        const Duration limitWait = m_pacer.waitFor(ahead + orders, now);
        const Duration wait = std::max(limitWait, ordersNeeded > 0 ? restLeft(now) : Duration::zero());
        if (now + wait <= request.latestStart) {
            ahead += orders + 1;
            ordered.insert(request.adapter);
            remaining.push_back(std::move(request));
            continue;
        }
        const bool isLimited = limitWait > Duration::zero();
        if (isLimited && orders > 0)
            deferLoad(request.adapter, now);
        const Duration slack = std::max<Duration>(request.onTimeStart - now, Duration::zero());
        decisions.denials.push_back(
            denialOf(request, isLimited ? RunRefusal::UpstreamLimit : RunRefusal::Overloaded,
                std::max<Duration>(wait - slack, shortestRetryAfter), wait));
    }
    m_waiting = std::move(remaining);
}

void EngineScheduler::deferLoad(const AdapterRef& adapter, MonotonicTime now)
{
    if (!m_deferredLoad)
        m_deferredLoad = DeferredLoad { adapter, now + startsUntilDeferredLoadExpires * m_pacer.interval() };
}

bool EngineScheduler::isUnused(MonotonicTime now) const
{
    return !m_deferredLoad
        && now - m_lastGrant > std::max(shortestUnusedTime, startsUntilUnused * m_pacer.interval());
}

size_t EngineScheduler::ordersUntilServable(const AdapterRef& adapter) const
{
    if (isServable(adapter) || !needsSlot(adapter))
        return 0;
    return m_slots.has(adapter) ? ordersWhileLoading : static_cast<size_t>(ordersForLoad);
}

void EngineScheduler::planOrder(SchedulerDecisions& decisions, MonotonicTime now)
{
    const bool isWithinLimit
        = m_pacer.waitFor(0, now) == Duration::zero() && restLeft(now) == Duration::zero();
    if (m_isLeaving || m_order || !m_sequence || m_isReportPending || now < m_nextOrder || !isWithinLimit)
        return;
    m_order = chooseOrder(now);
    if (!m_order)
        return;
    m_pacer.started(now);
    m_order->expectedSequence = *m_sequence;
    decisions.order = m_order;
}

std::optional<PlannedOrder> EngineScheduler::chooseOrder(MonotonicTime now)
{
    if (auto order = chooseModel())
        return order;
    if (auto order = m_slots.pendingConfirmation(now))
        return order;
    if (auto order = m_slots.evictOutdated(now))
        return order;
    return chooseLoad(now);
}

// Returns the adapter with the most waiting requests that can still be on time, so that each fetch serves as
// many requests as possible; ties go to the adapter whose requests have waited longest.
std::optional<AdapterRef> EngineScheduler::nextLoad(MonotonicTime now) const
{
    std::map<AdapterRef, int> demand;
    for (const RunRequest& request : m_waiting)
        demand[request.adapter] += now <= request.onTimeStart ? 1 : 0;
    std::optional<AdapterRef> best;
    std::pair<int, int> most { std::numeric_limits<int>::min(), -1 };
    for (const RunRequest& request : m_waiting) {
        const bool isWanted = needsSlot(request.adapter) && !m_slots.has(request.adapter)
            && m_models.count(request.adapter.model) > 0;
        const std::pair<int, int> preference { -loadLevel(request, now), demand[request.adapter] };
        if (!isWanted || preference <= most)
            continue;
        if (!m_slots.hasCachedCopy(request.adapter) && !m_fetchLimiter.mayStart())
            continue;
        best = request.adapter;
        most = preference;
    }
    const bool isDeferredWanted = !best && m_deferredLoad && !m_slots.has(m_deferredLoad->adapter)
        && m_models.count(m_deferredLoad->adapter.model) > 0;
    if (isDeferredWanted && (m_slots.hasCachedCopy(m_deferredLoad->adapter) || m_fetchLimiter.mayStart()))
        return m_deferredLoad->adapter;
    return best;
}

int EngineScheduler::loadLevel(const RunRequest& request, MonotonicTime now) const
{
    return isPlanned() ? RunQueuePlanner::loadLevel(request, now) : 0;
}

// A restarted engine holds no model. The model with the highest demand on this engine is loaded.
std::optional<PlannedOrder> EngineScheduler::chooseModel() const
{
    if (!m_models.empty())
        return std::nullopt;
    std::map<ModelId, double> demand = m_popularity.byModel();
    const ServedModel* best = nullptr;
    for (const ServedModel& model : m_limits.models) {
        const bool fits = model.weightsMegabytes <= m_limits.weightsMegabytes;
        if (fits && (!best || demand[model.id] > demand[best->id]))
            best = &model;
    }
    if (!best)
        return std::nullopt;
    return PlannedOrder { AdapterOrder::Action::Load, { best->id, AdapterId() } };
}

std::optional<PlannedOrder> EngineScheduler::chooseLoad(MonotonicTime now)
{
    if (m_slots.loading() >= maximumLoads)
        return std::nullopt;
    const auto adapter = nextLoad(now);
    if (!adapter)
        return std::nullopt;
    if (m_slots.hasFreeSlot())
        return m_slots.load(*adapter, now);
    int level = std::numeric_limits<int>::max();
    for (const RunRequest& request : m_waiting) {
        if (request.adapter == *adapter)
            level = std::min(level, loadLevel(request, now));
    }
    return m_slots.evictLeastPopular(awaitedAdapters(now, level), m_popularity, now);
}

bool EngineScheduler::isServable(const AdapterRef& adapter) const
{
    return needsSlot(adapter) ? m_slots.isPresent(adapter) : m_models.count(adapter.model) > 0;
}

Tokens EngineScheduler::uncachedTokens(const RunRequest& request) const
{
    // At least one token is always processed, even if the whole prompt is cached.
    return std::max(Tokens(1), request.prompt - m_prefixCache.cachedTokens(request.adapter, request.parts));
}

Tokens EngineScheduler::queuedPrompts() const
{
    Tokens queued = m_runs.backlog();
    for (const RunRequest& request : m_waiting)
        queued += uncachedTokens(request);
    return queued;
}

Duration EngineScheduler::prefillTime(Tokens tokens, MonotonicTime now) const
{
    return m_slowdown.timeFor(m_prefillRate.timeFor(tokens), now);
}

PrefillRate EngineScheduler::rateNow(MonotonicTime now) const
{
    return m_prefillRate.slowedBy(m_slowdown.current(now));
}

void EngineScheduler::seedSpeed(const speed::LearnedSpeed& learned, MonotonicTime now)
{
    m_prefillRate.seed(learned.usualRate);
    m_slowdown.seed(learned.meanSlowdown, now);
}

std::optional<speed::LearnedSpeed> EngineScheduler::learnedSpeed(MonotonicTime now) const
{
    if (!m_slowdown.isStated(now))
        return std::nullopt;
    return speed::LearnedSpeed { m_prefillRate.tokensPerMillisecond(), m_slowdown.mean(now) };
}

Duration EngineScheduler::estimateStart(const RunRequest& request, MonotonicTime now) const
{
    const Duration reading = prefillTime(queuedPrompts() + uncachedTokens(request), now);
    // More urgent requests that arrive later are prefilled first.
    if (!needsSlot(request.adapter) || isServable(request.adapter))
        return std::chrono::duration_cast<Duration>(overtakingFactor * reading);
    if (const auto expectedLoadEnd = m_slots.expectedLoadEnd(request.adapter))
        return std::max<Duration>(*expectedLoadEnd - now, Duration::zero()) + reading;
    return expectedLoadWait(request, now) + reading;
}

Duration EngineScheduler::expectedLoadWait(const RunRequest& request, MonotonicTime now) const
{
    const AdapterRef& wanted = request.adapter;
    std::set<AdapterRef> ahead = awaitedAdapters(now, loadLevel(request, now));
    int needed = 1 - m_slots.openCount(ahead);
    ahead.erase(wanted);
    for (const AdapterRef& adapter : ahead)
        needed += m_slots.has(adapter) ? 0 : 1;
    const Duration fetchWait
        = m_slots.hasCachedCopy(wanted) ? Duration::zero() : m_fetchLimiter.expectedWait();
    return m_slots.loadTime(wanted) + fetchWait + std::max(0, needed) * m_slotTurnover;
}

std::set<AdapterRef> EngineScheduler::awaitedAdapters(MonotonicTime now, int level) const
{
    std::set<AdapterRef> awaited;
    for (const RunRequest& request : m_waiting) {
        if (loadLevel(request, now) <= level)
            awaited.insert(request.adapter);
    }
    if (m_deferredLoad)
        awaited.insert(m_deferredLoad->adapter);
    return awaited;
}

std::vector<RunKey> EngineScheduler::waitingRuns() const
{
    std::vector<RunKey> keys;
    for (const RunRequest& request : m_waiting)
        keys.push_back(request.key);
    return keys;
}

int EngineScheduler::fetchDemand(MonotonicTime now) const
{
    int wanted = 0;
    for (const AdapterRef& adapter : awaitedAdapters(now))
        wanted += needsSlot(adapter) && !m_slots.has(adapter) && !m_slots.hasCachedCopy(adapter) ? 1 : 0;
    return wanted;
}

affinity::SharedPrefixes EngineScheduler::sharedPrefixes() const
{
    const Tokens room = std::max(Tokens(0), m_limits.cacheTokens - m_runs.cacheInUse());
    const double fill = m_limits.cacheTokens > Tokens(0)
        ? static_cast<double>(m_runs.cacheInUse().value()) / static_cast<double>(m_limits.cacheTokens.value())
        : 0;
    return { m_prefixCache.sharedPrefixes(room, affinity::PrefixPublisher::consideredSize),
        std::clamp(fill, 0.0, 1.0) };
}

EngineSummary EngineScheduler::summary(MonotonicTime now) const
{
    EngineSummary summary;
    summary.engine = m_engine;
    summary.isUsable = isUsable();
    summary.models.assign(m_models.begin(), m_models.end());
    summary.prefillBacklog = prefillTime(queuedPrompts(), now);
    summary.statesSlowdown = m_slowdown.isStated(now);
    summary.meanSlowdown = m_slowdown.mean(now);
    summary.slowdown = m_slowdown.relative(now);
    summary.promptTokensPerMillisecond = m_prefillRate.tokensPerMillisecond() / summary.meanSlowdown;
    summary.running = static_cast<int>(m_runs.size());
    summary.waiting = static_cast<int>(m_waiting.size());
    summary.openSlots = m_slots.openCount(awaitedAdapters(now));
    summary.fetchWait = m_fetchLimiter.expectedWait();
    summary.limitWait = m_pacer.waitFor(m_waiting.size(), now);
    // Hosts send an unused engine requests as if it had no limit, since only a response shows that it has
    // ended.
    summary.startInterval = isUnused(now) ? Duration::zero() : m_pacer.interval();
    summary.adapters = m_slots.summaries();
    return summary;
}

} // namespace lacewing::gateway
