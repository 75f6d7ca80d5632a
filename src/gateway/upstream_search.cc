#include "gateway/upstream_search.h"

#include "base/log.h"

#include <algorithm>

namespace lacewing::gateway {

namespace {

using std::chrono::milliseconds;

/// Engines without an owner get a new one within a short time.
constexpr Duration noOwnerRetryAfter = milliseconds(100);
/// Time in which successors of upstreams that are leaving may have come.
constexpr Duration leavingRetryAfter = milliseconds(1000);
/// Time in which operators may have taken an evacuation back or started upstreams in a home region.
constexpr Duration regionalRetryAfter = milliseconds(1000);
/// Fraction of the target latency for which a call may wait for a start within an upstream's limit.
constexpr double limitWaitFraction = 0.5;
/// Lower bound of the retry delay while upstreams are at their limits.
constexpr Duration shortestLimitRetryAfter = milliseconds(100);

} // namespace

UpstreamSearch::UpstreamSearch(CallServices& services, const Subject& subject, Handlers handlers)
    : m_services(services)
    , m_subject(subject)
    , m_handlers(std::move(handlers))
    , m_owners(subject.arrival, subject.admission.route->targetLatency, subject.timeLimit)
{
}

UpstreamSearch::~UpstreamSearch()
{
    stop();
}

void UpstreamSearch::stop()
{
    m_isStopped = true;
    m_services.loop.cancel(std::exchange(m_startTimer, 0));
    if (m_permit)
        m_services.permits.cancel(*std::exchange(m_permit, std::nullopt));
}

void UpstreamSearch::next()
{
    if (m_isStopped)
        return;
    const CallAdmission& admission = m_subject.admission;
    const bool needsEngine
        = admission.service && admission.service->engine && !m_subject.attributes.model.empty();
    if (needsEngine)
        chooseEngine();
    else
        choosePlain();
}

void UpstreamSearch::chooseEngine()
{
    const AdapterRef adapter { m_subject.attributes.model, m_subject.attributes.adapter };
    const Tokens prompt = m_subject.attributes.promptTokens.value_or(Tokens(1));
    auto candidates = m_services.engines.candidates(
        m_subject.admission.serviceId, adapter, m_tried, m_subject.binding.filter(), prompt);
    const bool hasSharedPrefix = m_services.engines.addPrefixSavings(
        candidates, adapter, m_subject.attributes.promptParts, prompt, timeUntilLateAnswer());
    const std::vector<UpstreamId> ranked = EngineChooser::rank(adapter, candidates, m_services.random);
    if (hasSharedPrefix && !ranked.empty())
        countAffinity(candidates, ranked.front());
    std::optional<Duration> shortestWait;
    for (const UpstreamId& engine : ranked) {
        if (const auto owner = m_services.engines.ownerOf(engine)) {
            askOwner(*owner, engine, ranked.size());
            return;
        }
        const auto release = m_services.configuration.releases().find(adapter);
        m_version = release == m_services.configuration.releases().end()
            ? std::nullopt
            : std::make_optional(release->second);
        m_urgency.reset();
        const Duration wait = m_services.permits.expectedWait(engine);
        if (wait > Duration::zero()) {
            shortestWait = std::min(shortestWait.value_or(wait), wait);
            continue;
        }
        startWithinLimit(engine, Duration::zero());
        return;
    }
    if (ranked.empty() && regionalRefusal()) {
        reportNoUpstream();
        return;
    }
    const auto rest
        = m_services.upstreams.shortestRest(m_subject.admission.serviceId, m_subject.binding.filter());
    if (const auto retryAfter = m_owners.retryAfter())
        m_handlers.onExhausted(overloadRefusal(), *retryAfter);
    else if (shortestWait)
        m_handlers.onExhausted(CallRefusal::UpstreamLimit, *shortestWait);
    else if (rest)
        m_handlers.onExhausted(CallRefusal::UpstreamsResting, *rest);
    else
        reportNoUpstream();
}

void UpstreamSearch::countAffinity(
    const std::vector<EngineCandidate>& candidates, const UpstreamId& chosen) const
{
    const auto candidate = std::find_if(candidates.begin(), candidates.end(),
        [&chosen](const EngineCandidate& each) { return each.engine == chosen; });
    const bool saves = candidate->prefixSaving > Duration::zero();
    ++m_services.metrics.counter(
        "lacewing_prefix_choices_total", { { "engine", saves ? "keeps_prefix" : "other" } });
}

bool UpstreamSearch::hasAlternative() const
{
    const auto usable
        = m_services.upstreams.usable(m_subject.admission.serviceId, m_subject.binding.filter());
    return std::any_of(usable.begin(), usable.end(), [this](const UpstreamEntry* entry) {
        return m_tried.count(entry->id) == 0 && m_services.upstreams.restLeft(*entry) == Duration::zero();
    });
}

std::optional<CallRefusal> UpstreamSearch::regionalRefusal() const
{
    const ServiceId& service = m_subject.admission.serviceId;
    const UpstreamFilter filter = m_subject.binding.filter();
    if (!m_services.upstreams.usable(service, filter).empty())
        return std::nullopt;
    if (!m_services.upstreams.inService(service, filter).empty())
        return CallRefusal::DataCentreEvacuated;
    const UpstreamFilter homesOnly(VersionFilter(), filter.homes());
    const bool isElsewhere = !m_services.upstreams.inService(service).empty()
        && m_services.upstreams.inService(service, homesOnly).empty();
    return isElsewhere ? std::make_optional(CallRefusal::NoUpstreamInHomeRegion) : std::nullopt;
}

void UpstreamSearch::reportNoUpstream()
{
    if (const auto refusal = regionalRefusal()) {
        m_handlers.onExhausted(*refusal, regionalRetryAfter);
        return;
    }
    const Duration timeLeft
        = std::max<Duration>(m_subject.timeLimit - (m_services.loop.now() - m_subject.arrival), {});
    const bool isBound = m_subject.binding.isBound();
    const bool isVersionGone
        = m_services.upstreams.usable(m_subject.admission.serviceId, m_subject.binding.filter()).empty();
    // Another version can't go on with the stream, so its caller would come back in vain.
    if (isBound && isVersionGone)
        m_handlers.onExhausted(CallRefusal::NoUpstreamOfVersion, timeLeft);
    else if (m_services.upstreams.areAllLeaving(m_subject.admission.serviceId))
        m_handlers.onExhausted(CallRefusal::UpstreamsLeaving, leavingRetryAfter);
    else
        m_handlers.onExhausted(CallRefusal::NoUpstream, noUpstreamRetryAfter);
}

void UpstreamSearch::askOwner(const HostId& owner, const UpstreamId& engine, size_t choices)
{
    const CallAttributes& attributes = m_subject.attributes;
    m_upstream = engine;
    RunRequest request;
    request.adapter = { attributes.model, attributes.adapter };
    request.prompt = attributes.promptTokens.value_or(Tokens(1));
    request.parts = attributes.promptParts;
    request.output = attributes.maximumOutputTokens.value_or(Tokens(1));
    request.priority = m_subject.priority;
    request.targetPause = m_subject.admission.route->targetPause;
    if (m_subject.admission.workspace)
        request.workspace = m_subject.admission.workspace->id;
    m_owners.prepare(request, choices);
    m_services.engines.recordRequest(engine, request.prompt);
    m_run = m_services.broker.ask(
        owner, engine, request, m_lifetime.guard([this](const RunAnswer& answer) { ownerAnswered(answer); }));
}

void UpstreamSearch::ownerAnswered(const RunAnswer& answer)
{
    if (m_isStopped)
        return;
    if (const auto* grant = std::get_if<RunGrant>(&answer)) {
        m_version = grant->version;
        m_urgency = grant->urgency;
        start(m_upstream);
        return;
    }
    const RunDenial& denial = std::get<RunDenial>(answer);
    LogEvent(LogLevel::Info, "start_denied")
        .with("request", m_subject.attributes.requestId)
        .with("upstream", m_upstream)
        .with("run", denial.key.run)
        .with("reason", gateway::toString(denial.reason))
        .with("retry_after_ms", toMilliseconds(denial.retryAfter));
    m_run.reset();
    m_tried.insert(m_upstream);
    m_owners.denied(denial);
    if (m_owners.hasAttemptsLeft()) {
        next();
        return;
    }
    m_handlers.onExhausted(overloadRefusal(), m_owners.retryAfter().value_or(noOwnerRetryAfter));
}

CallRefusal UpstreamSearch::overloadRefusal() const
{
    return m_owners.isLimitedOnly() ? CallRefusal::UpstreamLimit : CallRefusal::Overloaded;
}

void UpstreamSearch::choosePlain()
{
    const auto selection = m_services.plainSelector.select(m_subject.admission.serviceId, m_tried,
        m_subject.binding.filter(), timeUntilLate(), m_services.loop.now());
    if (selection.upstream)
        startWithinLimit(*selection.upstream, selection.patience);
    else if (selection.restingFor && (!selection.limitedFor || *selection.restingFor < *selection.limitedFor))
        m_handlers.onExhausted(CallRefusal::UpstreamsResting, *selection.restingFor);
    else if (selection.limitedFor)
        m_handlers.onExhausted(
            CallRefusal::UpstreamLimit, std::max(*selection.limitedFor, shortestLimitRetryAfter));
    else if (selection.hasUpstreams)
        m_handlers.onExhausted(CallRefusal::NotExecuted, noUpstreamRetryAfter);
    else
        reportNoUpstream();
}

Duration UpstreamSearch::timeUntilLateAnswer() const
{
    const Duration elapsed = m_services.loop.now() - m_subject.arrival;
    return std::max<Duration>(m_subject.admission.route->targetLatency - elapsed, Duration::zero());
}

Duration UpstreamSearch::timeUntilLate() const
{
    const auto latestStart
        = std::chrono::duration_cast<Duration>(limitWaitFraction * m_subject.admission.route->targetLatency);
    const Duration elapsed = m_services.loop.now() - m_subject.arrival;
    return std::max<Duration>(latestStart - elapsed, Duration::zero());
}

void UpstreamSearch::startWithinLimit(const UpstreamId& upstream, Duration patience)
{
    if (!m_services.limits.rate(upstream)) {
        start(upstream);
        return;
    }
    m_upstream = upstream;
    m_permit = m_services.permits.request(
        upstream, patience, m_lifetime.guard([this](const PermitAnswer& answer) { permitAnswered(answer); }));
}

void UpstreamSearch::permitAnswered(const PermitAnswer& answer)
{
    m_permit.reset();
    ++m_services.metrics.counter(
        "lacewing_permits_total", { { "outcome", answer.isGranted ? "granted" : "denied" } });
    if (!answer.isGranted) {
        LogEvent(LogLevel::Info, "permit_denied")
            .with("request", m_subject.attributes.requestId)
            .with("upstream", m_upstream)
            .with("wait_ms", toMilliseconds(answer.wait));
        next();
        return;
    }
    m_startTimer = m_services.loop.runAfter(answer.wait, [this] {
        m_startTimer = 0;
        start(m_upstream);
    });
}

void UpstreamSearch::start(const UpstreamId& upstream)
{
    m_upstream = upstream;
    m_tried.insert(upstream);
    m_handlers.onStart();
}

void UpstreamSearch::runProgressed(std::optional<double> slowdown)
{
    if (m_run)
        m_services.broker.progressed(*m_run, slowdown);
}

void UpstreamSearch::runEnded(const RunEnding& ending)
{
    if (m_run)
        m_services.broker.ended(*std::exchange(m_run, std::nullopt), ending);
}

} // namespace lacewing::gateway
