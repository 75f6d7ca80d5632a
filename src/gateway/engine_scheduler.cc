#include "gateway/engine_scheduler.h"

#include <algorithm>
#include <cmath>

namespace lacewing::gateway {

namespace {

/// Loads that an engine carries out at the same time.
constexpr int maximumLoads = 4;
/// Time to load an adapter of which the engine still has a copy.
constexpr Duration warmLoadTime = std::chrono::milliseconds(25);
/// Pause between two questions whether a load is complete.
constexpr Duration confirmInterval = std::chrono::milliseconds(20);
/// Adapters that engines keep copies of.
constexpr size_t recentCapacity = 30;
constexpr Duration reportInterval = std::chrono::milliseconds(120);
constexpr Duration orderRetryInterval = std::chrono::milliseconds(30);
constexpr int maximumRetryDoublings = 4;
/// Reports show the state of some time ago; what changed since then is kept as the scheduler knows it.
constexpr Duration reportLag = std::chrono::milliseconds(600);
constexpr Duration modelReportInterval = std::chrono::milliseconds(250);
/// After so many calls without an answer the engine counts as out of reach.
constexpr int unreachableAfter = 4;
/// Half-life of the popularity count.
constexpr double popularityHalfLifeSeconds = 6;
/// Counts below this are dropped when there are many.
constexpr double forgottenPopularity = 0.1;
constexpr size_t maximumPopularities = 4096;
/// Share of an engine's cache that running requests may claim.
constexpr double cacheShare = 0.92;
/// Part of the most output tokens that a request is expected to generate.
constexpr double expectedOutputShare = 0.5;
/// What reading the prompts that wait takes by the time that a further request is read, by what it takes now.
constexpr double overtakingFactor = 1.6;
/// Waiting requests are looked at again after this time.
constexpr Duration waitingInterval = std::chrono::milliseconds(25);
constexpr double turnoverWeight = 0.1;
/// A higher rank waits as if it had come this much later.
constexpr Duration priorityStep = std::chrono::milliseconds(100);

constexpr int firstUrgency = 2;
constexpr int lastOnTimeUrgency = 6;
constexpr int lateUrgency = 8;

/// Shortest pause after which a refused request may find room.
constexpr Duration shortestRetryAfter = std::chrono::milliseconds(100);
constexpr Duration longestRetryAfter = std::chrono::seconds(2);

/// Loads are expected to be complete no sooner than after this part of the usual time.
Duration earliestShare(Duration usual)
{
    return usual - usual / 10;
}

} // namespace

const char* toString(RunRefusal reason)
{
    switch (reason) {
    case RunRefusal::Overloaded:
        return "overloaded";
    case RunRefusal::NotOwner:
        return "not_owner";
    case RunRefusal::EngineLeaving:
        return "engine_leaving";
    case RunRefusal::EngineUnusable:
        return "engine_unusable";
    }
    return "unknown";
}

EngineScheduler::EngineScheduler(UpstreamId engine, EngineLimits limits, LoadLimiter& loads)
    : m_engine(std::move(engine))
    , m_limits(limits)
    , m_loads(loads)
{
}

EngineScheduler::~EngineScheduler()
{
    for (auto& [adapter, place] : m_places)
        endLoading(place);
    m_loads.forget(this);
}

void EngineScheduler::setRelease(const AdapterRef& adapter, int64_t version)
{
    int64_t& known = m_releases[adapter];
    known = std::max(known, version);
}

void EngineScheduler::request(RunRequest request, MonotonicTime now)
{
    countPopularity(request.adapter, now);
    if (!isUsable()) {
        m_denials.push_back(
            { request.key, RunRefusal::EngineUnusable, shortestRetryAfter, Duration::zero() });
        return;
    }
    const Duration wait = estimateStart(request, now);
    if (now + wait > request.latestStart) {
        m_denials.push_back({ request.key, RunRefusal::Overloaded,
            std::clamp(wait - (request.onTimeStart - now), shortestRetryAfter, longestRetryAfter), wait });
        return;
    }
    m_waiting.push_back(std::move(request));
}

bool EngineScheduler::isUsable() const
{
    return m_unansweredCalls < unreachableAfter && !m_models.empty();
}

void EngineScheduler::callAnswered(bool isAnswered)
{
    m_unansweredCalls = isAnswered ? 0 : m_unansweredCalls + 1;
    if (m_unansweredCalls != unreachableAfter)
        return;
    denyAll(RunRefusal::EngineUnusable);
    for (auto& [adapter, place] : m_places)
        endLoading(place);
}

void EngineScheduler::denyAll(RunRefusal reason)
{
    for (const RunRequest& request : std::exchange(m_waiting, {}))
        m_denials.push_back({ request.key, reason, shortestRetryAfter, Duration::zero() });
}

void EngineScheduler::runProgressed(const RunKey& key, MonotonicTime now)
{
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || found->second.hasProgressed)
        return;
    Run& run = found->second;
    run.hasProgressed = true;
    m_backlog -= run.request.prompt;
    m_prefillRate.observe(run.backlogAtGrant, now - run.granted);
}

void EngineScheduler::runEnded(const RunKey& key, RunOutcome outcome, MonotonicTime now)
{
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(),
                        [&key](const RunRequest& waiting) { return waiting.key == key; }),
        m_waiting.end());
    const auto found = m_runs.find(key);
    if (found == m_runs.end())
        return;
    const Run run = std::move(found->second);
    m_runs.erase(found);
    if (!run.hasProgressed)
        m_backlog -= run.request.prompt;
    m_cacheInUse -= cacheNeed(run.request);
    const auto place = m_places.find(run.request.adapter);
    if (place == m_places.end())
        return;
    if (--place->second.users == 0) {
        const Duration since = std::min<Duration>(now - m_lastIdle, std::chrono::seconds(1));
        m_placeTurnover += std::chrono::duration_cast<Duration>(turnoverWeight * (since - m_placeTurnover));
        m_lastIdle = now;
    }
    if (outcome != RunOutcome::AdapterMissing || place->second.state != PlaceState::Present)
        return;
    // The engine knows better; ordering the load again settles whether the adapter is there.
    place->second.state = PlaceState::Loading;
    place->second.isAccepted = false;
    place->second.confirmAt = now + confirmInterval;
}

void EngineScheduler::hostLost(const HostId& host, MonotonicTime now)
{
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(),
                        [&host](const RunRequest& waiting) { return waiting.key.host == host; }),
        m_waiting.end());
    std::vector<RunKey> lost;
    for (const auto& [key, run] : m_runs) {
        if (key.host == host)
            lost.push_back(key);
    }
    for (const RunKey& key : lost)
        runEnded(key, RunOutcome::Finished, now);
}

void EngineScheduler::orderAnswered(OrderOutcome outcome, MonotonicTime now)
{
    if (!m_order)
        return;
    const PlannedOrder order = *std::exchange(m_order, std::nullopt);
    callAnswered(outcome != OrderOutcome::Unknown);
    if (!needsPlace(order.adapter) && outcome != OrderOutcome::Unknown) {
        // A report tells when the model is there.
        m_isModelBusy = true;
        m_sequence.reset();
        m_nextReport = now + modelReportInterval;
        return;
    }
    switch (outcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::AlreadyHolds:
        m_failedOrders = 0;
        orderTookEffect(order, outcome, now);
        break;
    case OrderOutcome::OutOfSequence:
        // An order that was given up on has been carried out, or a model is being loaded.
        orderWasRefused(order);
        m_lowestSequence = order.expectedSequence + 1;
        m_staleReportLimit = now + reportLag;
        m_sequence.reset();
        m_nextReport = now;
        break;
    case OrderOutcome::Invalid:
        orderWasRefused(order);
        m_nextOrder = now + orderRetryInterval;
        break;
    case OrderOutcome::Unknown:
    case OrderOutcome::Fenced:
    case OrderOutcome::WrongInstance:
        // The same order follows again with the same sequence, so it is carried out once at most.
        m_nextOrder = now + orderRetryInterval * (1 << std::min(m_failedOrders, maximumRetryDoublings));
        ++m_failedOrders;
        break;
    }
}

// What the order was to change is left to the next report.
void EngineScheduler::orderWasRefused(const PlannedOrder& order)
{
    const auto place = m_places.find(order.adapter);
    if (place == m_places.end() || place->second.isAccepted)
        return;
    if (order.action == AdapterOrder::Action::Load && place->second.users == 0) {
        erasePlace(place);
        return;
    }
    endLoading(place->second);
    place->second.state = PlaceState::Present;
    place->second.changedAt = MonotonicTime();
}

void EngineScheduler::orderTookEffect(const PlannedOrder& order, OrderOutcome outcome, MonotonicTime now)
{
    const bool isLoad = order.action == AdapterOrder::Action::Load;
    // A repeated order that is still being carried out, or already was, is not counted by the engine again.
    const auto place = m_places.find(order.adapter);
    const bool isRepeated = place != m_places.end() && place->second.isAccepted;
    const bool isCounted = !isRepeated && (outcome == OrderOutcome::Accepted || !isLoad);
    if (isCounted && m_sequence)
        ++*m_sequence;
    if (place == m_places.end())
        return;
    place->second.changedAt = now;
    place->second.isAccepted = true;
    if (outcome == OrderOutcome::Accepted) {
        // An accepted order to unload waits for a run that this owner does not know.
        const bool isFirst = isLoad && !isRepeated;
        place->second.state = isLoad ? PlaceState::Loading : PlaceState::Unloading;
        place->second.confirmAt = now + (isFirst ? earliestShare(loadTime(order.adapter)) : confirmInterval);
        return;
    }
    if (!isLoad) {
        dropped(order.adapter, now);
        erasePlace(place);
        return;
    }
    if (place->second.isFetch) {
        m_loads.finished(now - place->second.loadStarted);
        place->second.isFetch = false;
    }
    place->second.state = PlaceState::Present;
    const auto release = m_releases.find(order.adapter);
    if (release != m_releases.end())
        place->second.version = release->second;
}

void EngineScheduler::addReportedPlace(
    const AdapterRef& adapter, int64_t version, PlaceState state, MonotonicTime now)
{
    if (wasDroppedLately(adapter, now))
        return;
    const auto [place, isNew] = m_places.try_emplace(adapter);
    if (!isNew && now - place->second.changedAt < reportLag)
        return;
    place->second.version = std::max(version, place->second.version);
    if (isNew || (place->second.state == PlaceState::Loading && state == PlaceState::Present)) {
        endLoading(place->second);
        place->second.state = state;
    }
    if (isNew) {
        place->second.changedAt = now;
        place->second.confirmAt = now + confirmInterval;
        place->second.isAccepted = true;
    }
}

void EngineScheduler::reportArrived(const std::optional<EngineReport>& report, MonotonicTime now)
{
    m_isReportUnderWay = false;
    callAnswered(report.has_value());
    m_nextReport = now + (m_isModelBusy || !report ? modelReportInterval : reportInterval);
    if (!report)
        return;
    m_isModelBusy = report->isBusy;
    if (m_isModelBusy)
        return;
    if (report->orderSequence < m_lowestSequence && now < m_staleReportLimit)
        return;
    m_sequence = std::max(report->orderSequence, m_sequence.value_or(0));
    m_models.clear();
    std::set<AdapterRef> reported;
    for (const HeldModel& model : report->models) {
        m_models.insert(model.model);
        for (const HeldAdapter& held : model.adapters) {
            const AdapterRef adapter { model.model, held.adapter };
            reported.insert(adapter);
            addReportedPlace(adapter, held.version, PlaceState::Present, now);
        }
        for (const HeldAdapter& held : model.loading) {
            const AdapterRef adapter { model.model, held.adapter };
            reported.insert(adapter);
            addReportedPlace(adapter, held.version, PlaceState::Loading, now);
        }
    }
    for (auto place = m_places.begin(); place != m_places.end();) {
        const bool isGone = reported.count(place->first) == 0 && place->second.users == 0
            && now - place->second.changedAt > reportLag;
        if (isGone)
            erasePlace(place++);
        else
            ++place;
    }
}

SchedulerDecisions EngineScheduler::decide(MonotonicTime now)
{
    SchedulerDecisions decisions;
    decisions.denials = std::exchange(m_denials, {});
    grantRuns(decisions, now);
    denyHopeless(decisions, now);
    planOrder(decisions, now);
    m_loads.setWanted(this, wantedFetches());
    if (!m_sequence && !m_isReportUnderWay && !m_order) {
        if (now >= m_nextReport) {
            decisions.wantsReport = true;
            m_isReportUnderWay = true;
        } else
            decisions.lookAgainAfter = m_nextReport - now;
    }
    const bool hasWork = !m_waiting.empty() || loadingPlaces() > 0;
    if (hasWork && !decisions.lookAgainAfter)
        decisions.lookAgainAfter = waitingInterval;
    return decisions;
}

void EngineScheduler::grantRuns(SchedulerDecisions& decisions, MonotonicTime now)
{
    const auto rank = [now](const RunRequest& request) {
        const bool isLate = now > request.onTimeStart;
        return std::make_pair(isLate, request.onTimeStart + request.priority * priorityStep);
    };
    std::stable_sort(m_waiting.begin(), m_waiting.end(),
        [&rank](const RunRequest& a, const RunRequest& b) { return rank(a) < rank(b); });
    std::vector<RunRequest> still;
    for (RunRequest& request : m_waiting) {
        if (!isServable(request.adapter) || !hasRoom(request)) {
            still.push_back(std::move(request));
            continue;
        }
        RunGrant grant { request.key, 0, std::nullopt };
        grant.urgency = now > request.onTimeStart
            ? lateUrgency
            : std::clamp(firstUrgency + request.priority, firstUrgency, lastOnTimeUrgency);
        const auto release = m_releases.find(request.adapter);
        if (release != m_releases.end())
            grant.version = release->second;
        if (needsPlace(request.adapter))
            ++m_places.at(request.adapter).users;
        m_backlog += request.prompt;
        m_cacheInUse += cacheNeed(request);
        decisions.grants.push_back(grant);
        const RunKey key = request.key;
        m_runs.insert_or_assign(key, Run { std::move(request), now, m_backlog, false });
    }
    m_waiting = std::move(still);
}

void EngineScheduler::denyHopeless(SchedulerDecisions& decisions, MonotonicTime now)
{
    std::vector<RunRequest> still;
    for (RunRequest& request : m_waiting) {
        if (now > request.latestStart)
            decisions.denials.push_back(
                { request.key, RunRefusal::Overloaded, shortestRetryAfter, Duration::zero() });
        else
            still.push_back(std::move(request));
    }
    m_waiting = std::move(still);
}

void EngineScheduler::planOrder(SchedulerDecisions& decisions, MonotonicTime now)
{
    if (m_order || !m_sequence || m_isReportUnderWay || now < m_nextOrder)
        return;
    m_order = chooseOrder(now);
    if (m_order)
        decisions.order = m_order;
}

std::optional<PlannedOrder> EngineScheduler::chooseOrder(MonotonicTime now)
{
    if (auto order = chooseModel())
        return order;
    if (auto order = chooseConfirmation(now))
        return order;
    if (auto order = chooseReplacement(now))
        return order;
    return chooseLoad(now);
}

PlannedOrder EngineScheduler::orderFor(AdapterOrder::Action action, const AdapterRef& adapter) const
{
    return { action, adapter, *m_sequence };
}

std::optional<PlannedOrder> EngineScheduler::chooseConfirmation(MonotonicTime now) const
{
    for (const auto& [adapter, place] : m_places) {
        const bool isLoading = place.state == PlaceState::Loading;
        // While there seem to be too many adapters, a load might be one too many; a report will tell.
        if (place.state == PlaceState::Present || now < place.confirmAt || (isLoading && isOverfull()))
            continue;
        return orderFor(isLoading ? AdapterOrder::Action::Load : AdapterOrder::Action::Unload, adapter);
    }
    return std::nullopt;
}

std::optional<PlannedOrder> EngineScheduler::chooseReplacement(MonotonicTime now)
{
    // A load of the new version beside the old one would take a second place.
    for (auto& [adapter, place] : m_places) {
        if (place.state != PlaceState::Present || place.users > 0 || isCurrent(adapter, place))
            continue;
        beginUnload(place, now);
        return orderFor(AdapterOrder::Action::Unload, adapter);
    }
    return std::nullopt;
}

// The adapter for which most requests wait that can still be on time, so that each fetch serves as many as
// possible; among equals the one whose requests have waited longest.
std::optional<AdapterRef> EngineScheduler::nextLoad(MonotonicTime now) const
{
    std::map<AdapterRef, int> demand;
    for (const RunRequest& request : m_waiting)
        demand[request.adapter] += now <= request.onTimeStart ? 1 : 0;
    std::optional<AdapterRef> best;
    int most = -1;
    for (const RunRequest& request : m_waiting) {
        const bool isWanted = needsPlace(request.adapter) && m_places.count(request.adapter) == 0
            && m_models.count(request.adapter.model) > 0;
        if (!isWanted || demand[request.adapter] <= most)
            continue;
        if (!isRecent(request.adapter) && !m_loads.mayStart())
            continue;
        best = request.adapter;
        most = demand[request.adapter];
    }
    return best;
}

// An engine that has started anew holds nothing. The model that most requests have asked for here is loaded.
std::optional<PlannedOrder> EngineScheduler::chooseModel() const
{
    if (!m_models.empty())
        return std::nullopt;
    std::map<ModelId, double> demand;
    for (const auto& [adapter, popularity] : m_popularity)
        demand[adapter.model] += popularity.count;
    const ServedModel* best = nullptr;
    for (const ServedModel& model : m_limits.models) {
        const bool fits = model.weightsMegabytes <= m_limits.weightsMegabytes;
        if (fits && (!best || demand[model.id] > demand[best->id]))
            best = &model;
    }
    if (!best)
        return std::nullopt;
    return orderFor(AdapterOrder::Action::Load, { best->id, AdapterId() });
}

std::optional<PlannedOrder> EngineScheduler::chooseLoad(MonotonicTime now)
{
    if (loadingPlaces() >= maximumLoads)
        return std::nullopt;
    const auto adapter = nextLoad(now);
    if (!adapter)
        return std::nullopt;
    if (static_cast<int>(m_places.size()) < m_limits.adapterPlaces) {
        setLoading(m_places[*adapter], *adapter, now);
        return orderFor(AdapterOrder::Action::Load, *adapter);
    }
    const auto victim = findVictim(now);
    if (victim == m_places.end())
        return std::nullopt;
    beginUnload(victim->second, now);
    return orderFor(AdapterOrder::Action::Unload, victim->first);
}

void EngineScheduler::setLoading(Place& place, const AdapterRef& adapter, MonotonicTime now)
{
    place.state = PlaceState::Loading;
    place.changedAt = now;
    place.loadStarted = now;
    place.confirmAt = now + earliestShare(loadTime(adapter));
    place.isFetch = !isRecent(adapter);
    if (place.isFetch)
        m_loads.started();
    m_dropped.erase(adapter);
}

void EngineScheduler::endLoading(Place& place)
{
    if (std::exchange(place.isFetch, false))
        m_loads.abandoned();
}

void EngineScheduler::erasePlace(std::map<AdapterRef, Place>::iterator place)
{
    endLoading(place->second);
    m_places.erase(place);
}

void EngineScheduler::beginUnload(Place& place, MonotonicTime now)
{
    place.state = PlaceState::Unloading;
    place.isAccepted = false;
    place.confirmAt = now + confirmInterval;
}

std::map<AdapterRef, EngineScheduler::Place>::iterator EngineScheduler::findVictim(MonotonicTime now)
{
    const std::set<AdapterRef> awaited = awaitedAdapters();
    auto victim = m_places.end();
    double lowest = 0;
    for (auto place = m_places.begin(); place != m_places.end(); ++place) {
        if (place->second.state != PlaceState::Present || place->second.users > 0
            || awaited.count(place->first) > 0)
            continue;
        const double score = popularity(place->first, now);
        if (victim != m_places.end() && score >= lowest)
            continue;
        victim = place;
        lowest = score;
    }
    return victim;
}

bool EngineScheduler::isCurrent(const AdapterRef& adapter, const Place& place) const
{
    const auto release = m_releases.find(adapter);
    return release == m_releases.end() || place.version >= release->second;
}

bool EngineScheduler::isServable(const AdapterRef& adapter) const
{
    if (!needsPlace(adapter))
        return m_models.count(adapter.model) > 0;
    const auto place = m_places.find(adapter);
    return place != m_places.end() && place->second.state == PlaceState::Present
        && isCurrent(adapter, place->second);
}

Tokens EngineScheduler::cacheNeed(const RunRequest& request) const
{
    const double output = expectedOutputShare * static_cast<double>(request.output.value());
    return request.prompt + Tokens(static_cast<int64_t>(output));
}

bool EngineScheduler::hasRoom(const RunRequest& request) const
{
    if (m_runs.empty())
        return true;
    const double available = cacheShare * static_cast<double>(m_limits.cacheTokens.value());
    const bool fitsCache = m_limits.cacheTokens == Tokens(0)
        || static_cast<double>((m_cacheInUse + cacheNeed(request)).value()) <= available;
    return fitsCache && static_cast<int>(m_runs.size()) < m_limits.batchSlots;
}

bool EngineScheduler::isRecent(const AdapterRef& adapter) const
{
    return std::find(m_recent.begin(), m_recent.end(), adapter) != m_recent.end();
}

Duration EngineScheduler::loadTime(const AdapterRef& adapter) const
{
    return isRecent(adapter) ? warmLoadTime : m_loads.fetchTime();
}

bool EngineScheduler::wasDroppedLately(const AdapterRef& adapter, MonotonicTime now) const
{
    const auto found = m_dropped.find(adapter);
    return found != m_dropped.end() && now - found->second < reportLag;
}

void EngineScheduler::dropped(const AdapterRef& adapter, MonotonicTime now)
{
    for (auto entry = m_dropped.begin(); entry != m_dropped.end();)
        entry = now - entry->second < reportLag ? std::next(entry) : m_dropped.erase(entry);
    m_dropped[adapter] = now;
    m_recent.erase(std::remove(m_recent.begin(), m_recent.end(), adapter), m_recent.end());
    m_recent.push_back(adapter);
    if (m_recent.size() > recentCapacity)
        m_recent.pop_front();
}

Duration EngineScheduler::estimateStart(const RunRequest& request, MonotonicTime now) const
{
    Tokens queued = m_backlog + request.prompt;
    for (const RunRequest& waiting : m_waiting)
        queued += waiting.prompt;
    const Duration reading = m_prefillRate.timeFor(queued);
    // More urgent requests that come later are read first.
    if (!needsPlace(request.adapter) || isServable(request.adapter))
        return std::chrono::duration_cast<Duration>(overtakingFactor * reading);
    const auto place = m_places.find(request.adapter);
    if (place != m_places.end() && place->second.state == PlaceState::Loading)
        return std::max<Duration>(place->second.confirmAt - now, Duration::zero()) + reading;
    std::set<AdapterRef> ahead = awaitedAdapters();
    ahead.erase(request.adapter);
    int needed = 1 - openPlaces();
    for (const AdapterRef& adapter : ahead)
        needed += m_places.count(adapter) == 0 ? 1 : 0;
    const Duration load
        = loadTime(request.adapter) + (isRecent(request.adapter) ? Duration::zero() : m_loads.expectedWait());
    return load + reading + std::max(0, needed) * m_placeTurnover;
}

double EngineScheduler::popularity(const AdapterRef& adapter, MonotonicTime now) const
{
    const auto found = m_popularity.find(adapter);
    if (found == m_popularity.end())
        return 0;
    return found->second.count
        * std::exp2(-toSeconds(now - found->second.updated) / popularityHalfLifeSeconds);
}

void EngineScheduler::countPopularity(const AdapterRef& adapter, MonotonicTime now)
{
    const double count = popularity(adapter, now) + 1;
    m_popularity[adapter] = { count, now };
    if (m_popularity.size() <= maximumPopularities)
        return;
    for (auto entry = m_popularity.begin(); entry != m_popularity.end();)
        entry = popularity(entry->first, now) < forgottenPopularity ? m_popularity.erase(entry)
                                                                    : std::next(entry);
}

int EngineScheduler::openPlaces() const
{
    int open = m_limits.adapterPlaces - static_cast<int>(m_places.size());
    const std::set<AdapterRef> awaited = awaitedAdapters();
    for (const auto& [adapter, place] : m_places) {
        if (place.state == PlaceState::Present && place.users == 0 && awaited.count(adapter) == 0)
            ++open;
    }
    return std::max(0, open);
}

int EngineScheduler::loadingPlaces() const
{
    return static_cast<int>(std::count_if(m_places.begin(), m_places.end(),
        [](const auto& entry) { return entry.second.state == PlaceState::Loading; }));
}

std::set<AdapterRef> EngineScheduler::awaitedAdapters() const
{
    std::set<AdapterRef> awaited;
    for (const RunRequest& request : m_waiting)
        awaited.insert(request.adapter);
    return awaited;
}

std::vector<RunKey> EngineScheduler::waitingRuns() const
{
    std::vector<RunKey> keys;
    for (const RunRequest& request : m_waiting)
        keys.push_back(request.key);
    return keys;
}

int EngineScheduler::wantedFetches() const
{
    int wanted = 0;
    for (const AdapterRef& adapter : awaitedAdapters())
        wanted += needsPlace(adapter) && m_places.count(adapter) == 0 && !isRecent(adapter) ? 1 : 0;
    return wanted;
}

EngineSummary EngineScheduler::summary(MonotonicTime now) const
{
    EngineSummary summary;
    summary.engine = m_engine;
    summary.isUsable = isUsable();
    summary.models.assign(m_models.begin(), m_models.end());
    Tokens queued = m_backlog;
    for (const RunRequest& request : m_waiting)
        queued += request.prompt;
    summary.prefillBacklog = m_prefillRate.timeFor(queued);
    summary.running = static_cast<int>(m_runs.size());
    summary.waiting = static_cast<int>(m_waiting.size());
    summary.openPlaces = openPlaces();
    summary.fetchWait = m_loads.expectedWait();
    for (const auto& [adapter, place] : m_places) {
        const bool isUsable = place.state != PlaceState::Unloading && isCurrent(adapter, place);
        if (isUsable || place.state == PlaceState::Loading)
            summary.adapters.push_back({ adapter, place.state == PlaceState::Loading });
    }
    return summary;
}

} // namespace lacewing::gateway
