#include "experiment/fleet_simulation.h"

#include "gateway/prefix_savings.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <utility>

namespace lacewing::experiment {

using gateway::AdapterRef;
using gateway::EngineCandidate;
using gateway::EngineScheduler;
using gateway::RunDenial;
using gateway::RunKey;
using gateway::RunOutcome;
using gateway::RunRefusal;
using gateway::RunRequest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ModelId modelId("base");
/// Callers come back once, and only if the pause is a small part of the time that they have left.
constexpr int usualAttempts = 2;
constexpr int attemptsOfRepeaters = 4;
constexpr int largestPauseShare = 3;
/// Sends of one request, those that an engine did not run included.
constexpr int maximumSends = 3;
/// Time until peers notice that a host is gone, and until another host owns its engines.
constexpr Duration silenceTime = seconds(1);
constexpr Duration takeoverTime = milliseconds(1500);
constexpr int slownessOfStore = 4;
/// Requests count against an engine's limit once the hosts have known it for this time.
constexpr Duration limitLearningTime = milliseconds(500);
/// Answers that begin in the last seconds end after the load.
constexpr Duration drainTime = seconds(16);
constexpr int usualUrgency = 5;
constexpr Duration shortestPause = milliseconds(100);
/// Popularity ranks below these make the groups "top" and "middle" of the report.
constexpr int topRanks = 10;
constexpr int middleRanks = 200;
/// Prompts above this multiple of their class's mean are among the largest tenth of it.
constexpr double largestTenth = 1.48;

} // namespace

FleetSimulation::FleetSimulation(const FleetShape& shape, LoadPattern pattern, const Arm& arm, uint64_t seed)
    : m_shape(shape)
    , m_pattern(pattern)
    , m_arm(arm)
    , m_random(seed)
    , m_stretches(seed + 1)
    , m_store(m_shape)
    , m_hosts(static_cast<size_t>(shape.hosts))
    , m_engines(static_cast<size_t>(shape.engines))
{
    for (Host& host : m_hosts) {
        host.loads = std::make_unique<gateway::FetchLimiter>();
        host.loads->setEngines(m_engines.size());
    }
    for (size_t index = 0; index < m_engines.size(); ++index) {
        m_engines[index].id = UpstreamId("engine-" + std::to_string(index));
        m_engines[index].model = std::make_unique<ModelEngine>(m_scheduler, m_store, m_shape, modelId);
        startOwner(index, static_cast<int>(index % m_hosts.size()));
    }
}

FleetSimulation::~FleetSimulation() = default;

FleetResult FleetSimulation::run(const std::vector<Arrival>& arrivals)
{
    m_result = {};
    m_result.seconds.resize(static_cast<size_t>(toSeconds(loadLength)));
    for (size_t host = 0; host < m_hosts.size(); ++host) {
        const Duration phase = m_shape.heartbeatInterval * static_cast<int64_t>(host) / m_shape.hosts;
        m_scheduler.runAfter(phase, [this, host] { heartbeat(host); });
    }
    scheduleFaults();
    for (const Arrival& arrival : arrivals)
        m_scheduler.runAfter(arrival.at, [this, &arrival] { begin(arrival); });
    m_scheduler.advance(loadLength + drainTime);
    m_result.fetches = m_store.fetches();
    for (const Arrival& arrival : arrivals)
        m_result.promptTokens += arrival.prompt;
    countReads();
    double busiest = 0;
    double total = 0;
    for (const Engine& engine : m_engines) {
        busiest = std::max(busiest, toSeconds(engine.model->busyTime()));
        m_result.busySeconds.push_back(toSeconds(engine.model->busyTime()));
        total += toSeconds(engine.model->busyTime());
        m_result.worstLimitRatio = std::max(m_result.worstLimitRatio, engine.limit.worstRatio());
    }
    m_result.busiestByMean = total > 0 ? busiest * static_cast<double>(m_engines.size()) / total : 0;
    return m_result;
}

void FleetSimulation::countReads()
{
    std::map<uint64_t, int> reads;
    for (const Engine& engine : m_engines) {
        for (const auto& [prefix, part] : engine.model->partReads()) {
            const bool isFirst = reads[prefix] == 0;
            reads[prefix] += part.count;
            const int again = part.count - (isFirst ? 1 : 0);
            m_result.tokensReadAgain += Tokens(again * part.tokens.value());
        }
    }
}

AdapterRef FleetSimulation::adapterOf(const Call& call) const
{
    return { modelId, AdapterId("a" + std::to_string(call.arrival.adapter)) };
}

void FleetSimulation::begin(const Arrival& arrival)
{
    const auto call = std::make_shared<Call>();
    call->arrival = arrival;
    call->begun = m_scheduler.now();
    m_scheduler.runAfter(classOf(*call).timeout, [this, call] { timeOut(call); });
    attempt(call);
}

void FleetSimulation::attempt(const CallPointer& call)
{
    if (call->isOver)
        return;
    while (!m_hosts[static_cast<size_t>(call->arrival.host)].isUp)
        call->arrival.host = (call->arrival.host + 1) % m_shape.hosts;
    const MonotonicTime now = m_scheduler.now();
    call->attemptBegun = now;
    call->tried.clear();
    const RequestClass& requestClass = classOf(*call);
    call->search = gateway::AdmissionSearch(
        now, requestClass.targetLatency, requestClass.timeout - (now - call->begun));
    choose(call);
}

void FleetSimulation::refuse(const CallPointer& call, Duration retryAfter, const std::string& reason)
{
    ++m_result.refusals[reason];
    const bool isRepeater = m_pattern == LoadPattern::ImmediateRepeats;
    const Duration left = call->begun + classOf(*call).timeout - m_scheduler.now();
    const bool comesBack = call->attempts < (isRepeater ? attemptsOfRepeaters : usualAttempts)
        && retryAfter * largestPauseShare <= left;
    if (!comesBack) {
        end(call, 0, true);
        return;
    }
    ++call->attempts;
    const Duration pause = isRepeater ? m_shape.linkDelay : retryAfter;
    m_scheduler.runAfter(pause, [this, call] { attempt(call); });
}

void FleetSimulation::timeOut(const CallPointer& call)
{
    if (call->isOver)
        return;
    report(*call, RunOutcome::Finished);
    end(call, 0);
}

void FleetSimulation::countOutcome(
    ClassOutcome& outcome, const Call& call, double worth, bool isRefusal) const
{
    ++outcome.requests;
    outcome.returned += call.attempts > 1 ? 1 : 0;
    if (worth > 0)
        ++(worth < classOf(call).worth ? outcome.late : outcome.onTime);
    else if (!isRefusal)
        ++outcome.failed;
    else {
        ++outcome.refused;
        outcome.refusedAgain += call.attempts > 1 ? 1 : 0;
        outcome.waitedInVain += m_scheduler.now() - call.attemptBegun;
    }
}

void FleetSimulation::end(const CallPointer& call, double worth, bool isRefusal)
{
    if (std::exchange(call->isOver, true))
        return;
    countOutcome(m_result.classes[classOf(*call).name], *call, worth, isRefusal);
    const char* workspace = call->arrival.workspace == 0 ? "hot" : "others";
    countOutcome(m_result.workspaces[workspace], *call, worth, isRefusal);
    m_calls.erase(call->key);
    count(*call, worth);
}

void FleetSimulation::choose(const CallPointer& call)
{
    if (call->isOver)
        return;
    const auto ranked = m_arm.selector->rank(adapterOf(*call), candidates(*call), m_random);
    if (ranked.empty()) {
        refuse(call, call->search.retryAfter().value_or(shortestPause), "no_engine");
        return;
    }
    const auto engine = std::find_if(m_engines.begin(), m_engines.end(),
        [&ranked](const Engine& each) { return each.id == ranked.front(); });
    call->engine = static_cast<size_t>(engine - m_engines.begin());
    if (engine->scheduler)
        ask(call, ranked.size());
    else
        send(call, usualUrgency);
}

std::vector<EngineCandidate> FleetSimulation::candidates(const Call& call) const
{
    std::vector<EngineCandidate> candidates;
    for (size_t index = 0; index < m_engines.size(); ++index) {
        const Engine& engine = m_engines[index];
        const bool isKnownDown = engine.scheduler && !engine.told.isUsable;
        if (!isKnownDown && call.tried.count(engine.id) == 0)
            candidates.push_back(candidate(call, index));
    }
    if (m_arm.usesPromptAffinity)
        addPrefixSavings(candidates, call);
    return candidates;
}

void FleetSimulation::addPrefixSavings(std::vector<EngineCandidate>& candidates, const Call& call) const
{
    const MonotonicTime now = m_scheduler.now();
    gateway::PrefixSavings savings(adapterOf(call), call.arrival.parts, call.arrival.prompt,
        call.begun + classOf(call).targetLatency - now);
    auto engine = m_engines.begin();
    for (const EngineCandidate& candidate : candidates) {
        engine = std::find_if(engine, m_engines.end(),
            [&candidate](const Engine& each) { return each.id == candidate.engine; });
        if (engine->scheduler && engine->owner == call.arrival.host) {
            const affinity::SharedPrefixes own = engine->scheduler->sharedPrefixes();
            savings.add(candidate, { own.memoryFill, affinity::PrefixDigest(own.recent) }, Duration::zero());
            continue;
        }
        savings.add(
            candidate, engine->told.prefixes.value_or(affinity::PrefixStatement()), now - engine->toldAt);
    }
    savings.apply(candidates);
}

void FleetSimulation::publishPrefixes(Engine& engine, gateway::EngineSummary& summary)
{
    summary.prefixes = engine.prefixes.stateToAll(engine.scheduler->sharedPrefixes(), m_scheduler.now());
    if (summary.prefixes->digest)
        m_result.digestBytes += summary.prefixes->digest->toBytes().size();
    else if (engine.told.prefixes)
        summary.prefixes->digest = engine.told.prefixes->digest;
}

EngineCandidate FleetSimulation::candidate(const Call& call, size_t index) const
{
    const Engine& engine = m_engines[index];
    const Host& host = m_hosts[static_cast<size_t>(call.arrival.host)];
    EngineCandidate candidate;
    candidate.engine = engine.id;
    candidate.isInCallersDataCentre
        = static_cast<int>(index) % m_shape.dataCentres == call.arrival.host % m_shape.dataCentres;
    candidate.hasOwner = engine.scheduler != nullptr;
    if (!candidate.hasOwner) {
        candidate.holdsAdapter = engine.model->holds(adapterOf(call));
        return candidate;
    }
    const bool isOwn = engine.owner == call.arrival.host;
    const gateway::EngineSummary summary = isOwn ? engine.scheduler->summary(m_scheduler.now()) : engine.told;
    candidate.applySummary(summary, adapterOf(call));
    const Duration age = isOwn ? Duration::zero() : m_scheduler.now() - engine.toldAt;
    candidate.setPromptTime(call.arrival.prompt, summary, age);
    candidate.hasCopy
        = isOwn ? engine.scheduler->hasCopy(adapterOf(call)) : engine.copies.has(adapterOf(call));
    candidate.updateInterval = isOwn ? Duration::zero() : m_shape.heartbeatInterval;
    const auto asked = host.asked.find(index);
    if (!isOwn && asked != host.asked.end() && asked->second.heartbeat == engine.heartbeat) {
        candidate.prefillBacklog += gateway::PrefillRate::prefillTime(
            asked->second.prompts, std::max(1.0, summary.promptTokensPerMillisecond));
        candidate.limitWait += asked->second.count * summary.startInterval;
    }
    return candidate;
}

void FleetSimulation::ask(const CallPointer& call, size_t choices)
{
    Engine& engine = m_engines[call->engine];
    Asked& asked = m_hosts[static_cast<size_t>(call->arrival.host)].asked[call->engine];
    if (asked.heartbeat != engine.heartbeat)
        asked = { engine.heartbeat, Tokens(0), 0 };
    asked.prompts += call->arrival.prompt;
    ++asked.count;
    call->key = { HostId("host-" + std::to_string(call->arrival.host)), gateway::RunId(m_nextRun++) };
    RunRequest request;
    request.key = call->key;
    request.adapter = adapterOf(*call);
    request.prompt = call->arrival.prompt;
    request.parts = call->arrival.parts;
    request.output = Tokens(static_cast<int64_t>(classOf(*call).events) * m_shape.tokensPerEvent);
    request.priority = classOf(*call).priority;
    request.workspace = WorkspaceId("workspace-" + std::to_string(call->arrival.workspace));
    call->search.prepare(request, choices);
    m_calls[call->key] = call;
    const size_t index = call->engine;
    m_scheduler.runAfter(m_shape.linkDelay, [this, index, request] {
        if (m_engines[index].scheduler) {
            m_engines[index].scheduler->request(request, m_scheduler.now());
            carryOut(index);
            return;
        }
        const auto call = m_calls.find(request.key);
        if (call != m_calls.end())
            denied(call->second, { request.key, RunRefusal::NotOwner });
    });
}

// By value, since the map of calls may hold the last pointer.
void FleetSimulation::denied(CallPointer call, const RunDenial& denial)
{
    m_calls.erase(denial.key);
    call->tried.insert(m_engines[call->engine].id);
    call->search.denied(denial);
    if (call->search.hasAttemptsLeft())
        choose(call);
    else
        refuse(call, call->search.retryAfter().value_or(shortestPause), "overloaded");
}

void FleetSimulation::send(const CallPointer& call, int urgency)
{
    ++call->sends;
    call->isRunning = true;
    m_scheduler.runAfter(m_shape.linkDelay, [this, call, urgency] {
        requestArrived(call->engine);
        m_engines[call->engine].model->run(
            adapterOf(*call), call->arrival.prompt, classOf(*call).events, urgency,
            [this, call](ModelEngine::RunEvent event) { runEvent(call, event); }, call->arrival.parts);
    });
}

void FleetSimulation::runEvent(const CallPointer& call, ModelEngine::RunEvent event)
{
    if (call->isOver)
        return;
    switch (event) {
    case ModelEngine::RunEvent::FirstEvent:
        call->firstEvent = m_scheduler.now() + m_shape.linkDelay;
        limitTold(call->engine);
        atOwner(call->engine,
            [this, key = call->key, engine = call->engine, slowdown = statedSlowdown(call->engine)](
                EngineScheduler& scheduler) {
                scheduler.runProgressed(key, m_scheduler.now(), slowdown);
                if (m_shape.overloadPolicy == gateway::OverloadPolicy::Priority && scheduler.hasWaitingRuns())
                    carryOut(engine);
            });
        return;
    case ModelEngine::RunEvent::Finished: {
        report(*call, RunOutcome::Finished);
        const Duration wait = *call->firstEvent - call->begun;
        m_result.waits.push_back(wait);
        const bool isOnTime = wait <= classOf(*call).targetLatency;
        end(call, isOnTime ? classOf(*call).worth : classOf(*call).lateWorth);
        return;
    }
    case ModelEngine::RunEvent::AdapterMissing:
    case ModelEngine::RunEvent::Lost:
        break;
    }
    const bool isMissing = event == ModelEngine::RunEvent::AdapterMissing;
    report(*call, isMissing ? RunOutcome::AdapterMissing : RunOutcome::EngineFailed);
    call->tried.insert(m_engines[call->engine].id);
    // A stream that has begun is lost with its engine.
    if (call->firstEvent || call->sends >= maximumSends) {
        ++m_result.refusals[isMissing ? "not_executed" : "engine_failed"];
        end(call, 0);
        return;
    }
    call->search.allowOneMore();
    m_scheduler.runAfter(m_shape.linkDelay, [this, call] { choose(call); });
}

void FleetSimulation::report(const Call& call, RunOutcome outcome)
{
    atOwner(call.engine, [this, key = call.key, outcome, engine = call.engine](EngineScheduler& scheduler) {
        scheduler.runEnded(key, { outcome, {} }, m_scheduler.now());
        carryOut(engine);
    });
}

void FleetSimulation::atOwner(size_t index, std::function<void(EngineScheduler&)> action)
{
    const int generation = m_engines[index].generation;
    m_scheduler.runAfter(m_shape.linkDelay, [this, index, generation, action = std::move(action)] {
        if (m_engines[index].scheduler && m_engines[index].generation == generation)
            action(*m_engines[index].scheduler);
    });
}

void FleetSimulation::startOwner(size_t index, int host)
{
    Engine& engine = m_engines[index];
    gateway::EngineLimits limits;
    limits.batchSlots = m_shape.batchSlots;
    limits.cacheTokens = m_shape.cacheTokens;
    limits.adapterPlaces = m_shape.adapterPlaces;
    limits.weightsMegabytes = 1;
    limits.models = { { modelId, 1 } };
    engine.owner = host;
    engine.prefixes = {};
    ++engine.generation;
    engine.scheduler
        = std::make_unique<EngineScheduler>(engine.id, limits, *m_hosts[static_cast<size_t>(host)].loads);
    engine.scheduler->setOverloadPolicy(m_shape.overloadPolicy);
    engine.scheduler->setRequestRate(
        engine.limitTold ? engine.limit.rate() : std::nullopt, m_scheduler.now());
    m_scheduler.runAfter(Duration::zero(), [this, index] { carryOut(index); });
}

void FleetSimulation::stateLimits(std::optional<RequestRate> rate)
{
    for (size_t index = 0; index < m_engines.size(); index += failingPart)
        m_engines[index].limit.state(rate, m_scheduler.now());
}

void FleetSimulation::requestArrived(size_t index)
{
    Engine& engine = m_engines[index];
    if (engine.limitTold && m_scheduler.now() >= *engine.limitTold + limitLearningTime)
        engine.limit.requestArrived(m_scheduler.now());
}

void FleetSimulation::limitTold(size_t index)
{
    Engine& engine = m_engines[index];
    const auto rate = engine.limit.rate();
    if (!rate && !engine.limitTold)
        return;
    if (!rate)
        engine.limitTold.reset();
    else if (!engine.limitTold)
        engine.limitTold = m_scheduler.now() + m_shape.linkDelay;
    // One link delay to the host that sent the request, and one from there to the owner.
    m_scheduler.runAfter(m_shape.linkDelay, [this, index, rate] {
        atOwner(index, [this, index, rate](EngineScheduler& scheduler) {
            scheduler.setRequestRate(rate, m_scheduler.now());
            carryOut(index);
        });
    });
}

void FleetSimulation::loseOwner(size_t index)
{
    Engine& engine = m_engines[index];
    const auto waiting = engine.scheduler ? engine.scheduler->waitingRuns() : std::vector<RunKey>();
    m_scheduler.cancel(std::exchange(engine.timer, 0));
    engine.scheduler.reset();
    engine.told = {};
    m_scheduler.runAfter(silenceTime, [this, waiting] {
        for (const RunKey& key : waiting) {
            const auto call = m_calls.find(key);
            if (call != m_calls.end())
                denied(call->second, { key, RunRefusal::NotOwner });
        }
    });
}

void FleetSimulation::carryOut(size_t index)
{
    Engine& engine = m_engines[index];
    if (!engine.scheduler)
        return;
    const gateway::SchedulerDecisions decisions = engine.scheduler->decide(m_scheduler.now());
    m_scheduler.cancel(std::exchange(engine.timer, 0));
    if (decisions.reevaluateAfter)
        engine.timer = m_scheduler.runAfter(*decisions.reevaluateAfter, [this, index] {
            m_engines[index].timer = 0;
            carryOut(index);
        });
    if (decisions.needsReport)
        m_scheduler.runAfter(m_shape.linkDelay, [this, index] {
            requestArrived(index);
            const ModelEngine& model = *m_engines[index].model;
            const auto report = model.isUp() ? std::make_optional(model.report()) : std::nullopt;
            atOwner(index, [this, index, report](EngineScheduler& scheduler) {
                scheduler.reportArrived(report, m_scheduler.now());
                carryOut(index);
            });
        });
    if (decisions.order)
        giveOrder(index, *decisions.order);
    for (const RunDenial& denial : decisions.denials)
        m_scheduler.runAfter(m_shape.linkDelay, [this, denial] {
            const auto call = m_calls.find(denial.key);
            if (call != m_calls.end())
                denied(call->second, denial);
        });
    for (const gateway::RunGrant& grant : decisions.grants)
        m_scheduler.runAfter(m_shape.linkDelay, [this, grant] {
            const auto call = m_calls.find(grant.key);
            if (call != m_calls.end())
                send(call->second, grant.urgency);
        });
}

void FleetSimulation::giveOrder(size_t index, const gateway::PlannedOrder& order)
{
    m_scheduler.runAfter(m_shape.linkDelay, [this, index, order] {
        requestArrived(index);
        m_engines[index].model->order(order, [this, index](gateway::OrderOutcome outcome) {
            atOwner(index, [this, index, outcome](EngineScheduler& scheduler) {
                scheduler.orderAnswered(outcome, m_scheduler.now());
                carryOut(index);
            });
        });
    });
}

void FleetSimulation::heartbeat(size_t index)
{
    Host& host = m_hosts[index];
    if (!host.isUp)
        return;
    host.toldFetches = host.loads->inFlight();
    const int fetches = std::accumulate(m_hosts.begin(), m_hosts.end(), 0,
        [](int sum, const Host& each) { return sum + (each.isUp ? each.toldFetches : 0); });
    host.loads->setPeersInFlight(fetches - host.toldFetches, m_hosts.size() - 1);
    host.loads->told();
    for (Engine& engine : m_engines) {
        if (!engine.scheduler || engine.owner != static_cast<int>(index))
            continue;
        gateway::EngineSummary summary = engine.scheduler->summary(m_scheduler.now());
        engine.copies.observe(engine.told.adapters, summary.adapters);
        if (m_arm.usesPromptAffinity)
            publishPrefixes(engine, summary);
        engine.toldAt = m_scheduler.now();
        engine.told = std::move(summary);
        ++engine.heartbeat;
    }
    m_scheduler.runAfter(m_shape.heartbeatInterval, [this, index] { heartbeat(index); });
}

void FleetSimulation::toggleSlowdown(size_t index)
{
    ModelEngine& model = *m_engines[index].model;
    const bool isSlowed = model.slowdown() > 1;
    model.setSlowdown(isSlowed ? 1 : stretchSlowdown);
    const double mean = isSlowed ? (1 - stretchShare) / stretchShare : 1;
    const auto length
        = std::chrono::duration_cast<Duration>(-std::log(1 - m_stretches.uniform()) * mean * stretchLength);
    m_scheduler.runAfter(length, [this, index] { toggleSlowdown(index); });
}

std::optional<double> FleetSimulation::statedSlowdown(size_t engine) const
{
    if (m_pattern != LoadPattern::UnevenEngines)
        return std::nullopt;
    const double slowdown = m_engines[engine].model->slowdown();
    return m_arm.statement ? m_arm.statement(engine, slowdown, m_scheduler.now()) : slowdown;
}

void FleetSimulation::scheduleFaults()
{
    for (size_t index = 0; m_pattern == LoadPattern::UnevenEngines && index < m_engines.size(); ++index) {
        m_engines[index].model->setSpeed(unevenSpeeds[index % std::size(unevenSpeeds)]);
        m_engines[index].model->setSlowdown(stretchSlowdown);
        toggleSlowdown(index);
    }
    if (m_pattern == LoadPattern::LimitedEngines) {
        m_scheduler.runAfter(patternStart, [this] { stateLimits(RequestRate(firstLimit)); });
        m_scheduler.runAfter(patternStart + limitLength, [this] { stateLimits(RequestRate(secondLimit)); });
        m_scheduler.runAfter(patternStart + 2 * limitLength, [this] { stateLimits(std::nullopt); });
    }
    m_scheduler.runAfter(patternStart, [this] {
        if (m_pattern == LoadPattern::SlowWeightStore)
            m_store.setSlowness(slownessOfStore);
        if (m_pattern == LoadPattern::OwnersKilled) {
            for (size_t host = 0; host < m_hosts.size(); host += failingPart)
                killHost(host);
        }
        if (m_pattern != LoadPattern::EngineCrashes && m_pattern != LoadPattern::Contention)
            return;
        for (size_t index = 0; index < m_engines.size(); index += failingPart) {
            ModelEngine& model = *m_engines[index].model;
            model.crash();
            m_scheduler.runAfter(engineOutage, [this, index, &model] {
                model.restart();
                // The owner sees from the engine's entry that it has started anew.
                if (m_engines[index].scheduler)
                    startOwner(index, m_engines[index].owner);
            });
        }
    });
    m_scheduler.runAfter(patternStart + patternLength, [this] { m_store.setSlowness(1); });
}

void FleetSimulation::killHost(size_t index)
{
    m_hosts[index].isUp = false;
    std::vector<CallPointer> cut;
    const std::string name = "host-" + std::to_string(index);
    for (const auto& [key, call] : m_calls) {
        if (key.host.value() == name)
            cut.push_back(call);
    }
    for (const CallPointer& call : cut) {
        report(*call, RunOutcome::Finished);
        ++m_result.refusals["host_killed"];
        end(call, 0);
    }
    for (size_t engine = 0; engine < m_engines.size(); ++engine) {
        if (m_engines[engine].owner != static_cast<int>(index))
            continue;
        loseOwner(engine);
        size_t successor = (index + 1 + engine) % m_hosts.size();
        while (!m_hosts[successor].isUp || successor % failingPart == 0)
            successor = (successor + 1) % m_hosts.size();
        m_scheduler.runAfter(
            takeoverTime, [this, engine, successor] { startOwner(engine, static_cast<int>(successor)); });
    }
}

void FleetSimulation::countInto(Share& share, const Call& call, double worth) const
{
    share.owed += classOf(call).worth;
    share.earned += worth;
    ++share.requests;
    share.served += worth > 0 ? 1 : 0;
}

void FleetSimulation::count(const Call& call, double worth)
{
    countInto(m_result.all, call, worth);
    countInto(m_result.seconds[static_cast<size_t>(toSeconds(call.arrival.at))], call, worth);
    const double size = static_cast<double>(call.arrival.prompt.value())
        / static_cast<double>(classOf(call).prompt.value());
    const int rank = call.arrival.adapter;
    const char* popularity = rank < topRanks ? "top" : rank < middleRanks ? "middle" : "rare";
    const std::string dataCentre = std::to_string(call.arrival.host % m_shape.dataCentres);
    for (const std::string& group : { "data-centre/" + dataCentre, "class/" + classOf(call).name,
             std::string("size/") + (size > largestTenth ? "largest" : "usual"),
             "workspace/" + std::to_string(call.arrival.workspace), std::string("rank/") + popularity })
        countInto(m_result.groups[group], call, worth);
}

} // namespace lacewing::experiment
