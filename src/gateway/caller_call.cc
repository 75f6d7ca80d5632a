#include "gateway/caller_call.h"

#include "base/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lacewing::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr int firstServerError = 500;

/// Most sends of one request, those that were not executed included.
constexpr int maximumSends = 4;
/// Answers that come a moment after the limit are still delivered.
constexpr Duration limitSlack = milliseconds(15);
constexpr Duration defaultLimit = std::chrono::seconds(30);
/// Share of the target latency after which an idempotent request is sent to another upstream.
constexpr double silenceShare = 0.7;
constexpr double connectShare = 0.3;
constexpr Duration shortestConnectTimeout = milliseconds(40);
constexpr Duration longestConnectTimeout = milliseconds(300);
constexpr Duration noUpstreamRetryAfter = milliseconds(400);
/// Engines change owners within a moment.
constexpr Duration noOwnerRetryAfter = milliseconds(100);
constexpr Duration staleRetryAfter = milliseconds(500);
/// Another host can serve the request at once.
constexpr Duration stoppingRetryAfter = milliseconds(20);
/// The answer of a stream is not read any further while the caller has this much to take.
constexpr size_t maximumBufferedBytes = 256 * 1024;

bool isPromiseOfNoRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

CallerCall::CallerCall(
    CallServices& services, std::shared_ptr<HttpExchange> exchange, std::function<void(CallerCall*)> finished)
    : m_services(services)
    , m_exchange(std::move(exchange))
    , m_finished(std::move(finished))
    , m_arrival(services.loop.now())
{
}

CallerCall::~CallerCall()
{
    m_services.loop.cancel(m_deadlineTimer);
    m_services.loop.cancel(m_silenceTimer);
}

Duration CallerCall::elapsed() const
{
    return m_services.loop.now() - m_arrival;
}

// Callers that were refused together must not come back together.
Duration CallerCall::jittered(Duration duration)
{
    return std::chrono::duration_cast<Duration>(duration * (0.8 + 0.4 * m_services.random.uniform()));
}

void CallerCall::start()
{
    m_attributes = m_services.translator.readRequest(m_exchange->headers());
    m_configuration = m_services.configuration.current();
    if (!m_configuration) {
        refuse(CallRefusal::NoConfiguration, staleRetryAfter);
        return;
    }
    const std::string host = m_exchange->headers().find("Host").value_or("");
    const auto denial
        = m_services.admitter.find(*m_configuration, host, m_exchange->path(), m_attributes, m_admission);
    if (denial) {
        deny(*denial);
        return;
    }
    if (m_admission.route->kind == RouteKind::Stream && !m_services.acceptsStreams) {
        refuse(CallRefusal::Stopping, stoppingRetryAfter);
        return;
    }
    m_limit = std::min(m_attributes.deadline.value_or(defaultLimit), m_admission.route->timeout);
    m_search = AdmissionSearch(m_arrival, m_admission.route->targetLatency, m_limit);
    m_priority = m_admission.workspace && m_admission.workspace->priority ? *m_admission.workspace->priority
                                                                          : m_admission.route->priority;
    if (!chargeWorkspace())
        return;
    m_exchange->onClientLeft([this] { callerLeft(); });
    m_deadlineTimer = m_services.loop.runAfter(m_limit + limitSlack, [this] {
        m_deadlineTimer = 0;
        deadlinePassed();
    });
    chooseUpstream();
}

void CallerCall::deny(CallRefusal refusal)
{
    if (refusal == CallRefusal::StaleConfiguration) {
        refuse(refusal, staleRetryAfter);
        return;
    }
    const int status = refusal == CallRefusal::UnknownKey ? statusUnauthorized : statusNotFound;
    ++m_services.metrics.counter("lacewing_denials_total", { { "reason", toString(refusal) } });
    reply(status, m_services.translator.ownAnswerHeaders(m_attributes.requestId, std::nullopt), "", "denied",
        toString(refusal));
}

bool CallerCall::chargeWorkspace()
{
    const auto retryAfter = m_services.admitter.charge(m_attributes, m_admission, m_services.loop.now());
    if (!retryAfter) {
        if (m_services.usage.isReportDue())
            m_services.reportUsage();
        return true;
    }
    ++m_services.metrics.counter(
        "lacewing_refusals_total", { { "reason", toString(CallRefusal::OverLimit) } });
    reply(statusTooManyRequests,
        m_services.translator.ownAnswerHeaders(m_attributes.requestId, jittered(*retryAfter)), "", "refused",
        toString(CallRefusal::OverLimit));
    return false;
}

void CallerCall::chooseUpstream()
{
    if (m_isFinished)
        return;
    if (m_sends == 0 && m_search.attempts() == 0)
        m_services.retries.countRequest(m_admission.serviceId, m_services.loop.now());
    const bool needsEngine
        = m_admission.service && m_admission.service->engine && !m_attributes.model.empty();
    if (needsEngine)
        chooseEngine();
    else
        choosePlain();
}

void CallerCall::choosePlain()
{
    std::vector<PickCandidate> candidates;
    for (const UpstreamEntry* entry : m_services.upstreams.usable(m_admission.serviceId))
        candidates.push_back({ entry->id, entry->slots, entry->dataCentre == m_services.dataCentre });
    auto upstream = m_services.picker.pick(candidates, m_tried, m_services.loop.now());
    if (!upstream) {
        refuse(candidates.empty() ? CallRefusal::NoUpstream : CallRefusal::NotExecuted, noUpstreamRetryAfter);
        return;
    }
    send(*upstream);
}

void CallerCall::chooseEngine()
{
    const AdapterRef adapter { m_attributes.model, m_attributes.adapter };
    const auto candidates = m_services.engines.candidates(m_admission.serviceId, adapter, m_tried);
    const std::vector<UpstreamId> ranked = EngineChooser::rank(adapter, candidates, m_services.random);
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
        send(engine);
        return;
    }
    const auto room = m_search.retryAfter();
    refuse(room ? CallRefusal::Overloaded : CallRefusal::NoUpstream, room.value_or(noUpstreamRetryAfter));
}

void CallerCall::askOwner(const HostId& owner, const UpstreamId& engine, size_t choices)
{
    m_upstream = engine;
    RunRequest request;
    request.adapter = { m_attributes.model, m_attributes.adapter };
    request.prompt = m_attributes.promptTokens.value_or(Tokens(1));
    request.parts = m_attributes.promptParts;
    request.output = m_attributes.maximumOutputTokens.value_or(Tokens(1));
    request.priority = m_priority;
    request.targetPause = m_admission.route->targetPause;
    m_search.prepare(request, choices);
    m_services.engines.recordRequest(engine, request.prompt);
    m_run = m_services.broker.ask(owner, engine, request, [weak = weak_from_this()](const RunAnswer& answer) {
        if (const auto call = weak.lock())
            call->ownerAnswered(answer);
    });
}

void CallerCall::ownerAnswered(const RunAnswer& answer)
{
    if (m_isFinished)
        return;
    if (const auto* grant = std::get_if<RunGrant>(&answer)) {
        m_version = grant->version;
        m_urgency = grant->urgency;
        send(m_upstream);
        return;
    }
    const RunDenial& denial = std::get<RunDenial>(answer);
    LogEvent(LogLevel::Info, "start_denied")
        .with("request", m_attributes.requestId)
        .with("upstream", m_upstream)
        .with("run", denial.key.run)
        .with("reason", gateway::toString(denial.reason))
        .with("retry_after_ms", toMilliseconds(denial.retryAfter));
    m_run.reset();
    m_tried.insert(m_upstream);
    m_search.denied(denial);
    if (m_search.hasAttemptsLeft()) {
        chooseUpstream();
        return;
    }
    refuse(CallRefusal::Overloaded, m_search.retryAfter().value_or(noOwnerRetryAfter));
}

HttpClientRequest CallerCall::upstreamRequest(const UpstreamEntry& entry)
{
    ForwardingFields fields;
    if (m_attributes.deadline)
        fields.deadline = *m_attributes.deadline - elapsed();
    fields.expectedUpstream = entry.id;
    if (m_admission.workspace)
        fields.workspace = m_admission.workspace->id;
    fields.urgency = m_urgency;
    fields.expectedVersion = m_version;
    if (m_answer.events().hasEvents())
        fields.lastEventId = m_answer.events().lastId();
    HttpClientRequest request;
    request.server = entry.address;
    request.method = m_exchange->method();
    request.target
        = m_exchange->query().empty() ? m_exchange->path() : m_exchange->path() + '?' + m_exchange->query();
    request.headers = m_services.translator.upstreamHeaders(m_exchange->headers(), fields);
    request.body = m_exchange->body();
    const auto connectTime
        = std::chrono::duration_cast<Duration>(connectShare * m_admission.route->targetLatency);
    request.connectTimeout = std::clamp(connectTime, shortestConnectTimeout, longestConnectTimeout);
    // The call's own timers bound the time.
    request.progressTimeout = Duration::zero();
    request.maximumIdleAge = m_services.picker.idleAge(entry.id);
    return request;
}

void CallerCall::send(const UpstreamId& upstream)
{
    const UpstreamEntry* entry = m_services.upstreams.findUsable(upstream);
    m_tried.insert(upstream);
    m_upstream = upstream;
    if (!entry) {
        exchangeEnded(ExchangeOutcome::Answered, RunOutcome::EngineFailed);
        chooseUpstream();
        return;
    }
    ++m_sends;
    m_answer.begin();
    m_isExchanging = true;
    m_services.picker.started(upstream);
    HttpClientHandlers handlers;
    handlers.onHeaders = [this](int status, const HttpHeaders& headers) { headersArrived(status, headers); };
    handlers.onBody = [this](std::string_view bytes) { bodyArrived(bytes); };
    handlers.onDone = [this](const HttpClientResult& result) {
        const auto self = shared_from_this();
        upstreamDone(result);
    };
    m_call = m_services.client.send(upstreamRequest(*entry), std::move(handlers));
    watchSilence();
}

void CallerCall::headersArrived(int status, const HttpHeaders& headers)
{
    m_services.loop.cancel(std::exchange(m_silenceTimer, 0));
    const AnswerAttributes attributes = m_services.translator.readAnswer(status, headers);
    if (attributes.load)
        m_services.picker.loadReported(m_upstream, *attributes.load, m_services.loop.now());
    if (attributes.keepAlive)
        m_services.picker.keepAliveReported(m_upstream, *attributes.keepAlive);
    m_answer.headArrived(attributes, headers, m_attributes.requestId);
}

void CallerCall::bodyArrived(std::string_view bytes)
{
    const std::string events = m_answer.bodyArrived(bytes, m_services.loop.now());
    if (!events.empty())
        forwardEvents(events);
    if (m_answer.isEndless())
        giveUpAnswer();
}

void CallerCall::giveUpAnswer()
{
    if (!m_call)
        return;
    LogEvent(LogLevel::Warning, "answer_without_end")
        .with("request", m_attributes.requestId)
        .with("upstream", m_upstream)
        .with("held_bytes", m_answer.heldBytes());
    ++m_services.metrics.counter("lacewing_answers_without_end_total");
    m_call->cancel();
}

void CallerCall::forwardEvents(const std::string& events)
{
    if (!m_hasStartedAnswer) {
        m_hasStartedAnswer = true;
        m_mayHaveRun = true;
        m_firstByte = elapsed();
        if (m_run)
            m_services.broker.progressed(*m_run);
        m_exchange->startStream(
            m_answer.attributes()->status, m_services.translator.callerHeaders(m_answer.headers()));
        m_exchange->onDrained([this] {
            if (m_call)
                m_call->resumeReading();
        });
    }
    m_exchange->sendChunk(events);
    if (m_call && m_exchange->bufferedBytes() > maximumBufferedBytes)
        m_call->pauseReading();
}

void CallerCall::exchangeEnded(ExchangeOutcome outcome, RunOutcome runOutcome)
{
    m_services.loop.cancel(std::exchange(m_silenceTimer, 0));
    if (std::exchange(m_isExchanging, false))
        m_services.picker.ended(m_upstream, outcome, m_services.loop.now());
    m_call.reset();
    if (m_run)
        m_services.broker.ended(*std::exchange(m_run, std::nullopt), { runOutcome, m_answer.longestPause() });
}

void CallerCall::upstreamDone(const HttpClientResult& result)
{
    if (m_isFinished)
        return;
    const bool isWhole = !result.error && m_answer.isOwn();
    if (isWhole && m_answer.attributes()->isNotExecuted) {
        exchangeEnded(ExchangeOutcome::Rejected, RunOutcome::AdapterMissing);
        handleNotExecuted();
        return;
    }
    if (isWhole && m_answer.isStream()) {
        exchangeEnded(ExchangeOutcome::Answered, RunOutcome::Finished);
        forwardAnswer();
        return;
    }
    if (!result.requestSent && !m_answer.attributes()) {
        exchangeEnded(ExchangeOutcome::Unreachable, RunOutcome::EngineFailed);
        if (m_hasStartedAnswer)
            handleBrokenStream();
        else if (m_sends < maximumSends)
            chooseUpstream();
        else
            refuse(CallRefusal::NotExecuted, noUpstreamRetryAfter);
        return;
    }
    ++m_runs;
    m_mayHaveRun = true;
    if (result.error == HttpClientError::ConnectionLost && !m_answer.attributes())
        m_services.picker.keptConnectionLost(m_upstream);
    if (!isWhole) {
        exchangeEnded(ExchangeOutcome::Unreachable, RunOutcome::EngineFailed);
        if (m_hasStartedAnswer)
            handleBrokenStream();
        else
            handleFailure(result.error ? lacewing::toString(*result.error) : "foreign_answer");
        return;
    }
    const bool isFailure = m_answer.attributes()->status >= firstServerError || m_hasStartedAnswer;
    exchangeEnded(isFailure ? ExchangeOutcome::Failed : ExchangeOutcome::Answered, RunOutcome::Finished);
    if (m_hasStartedAnswer) {
        // The stream was to go on here, but the upstream answered with something else.
        handleBrokenStream();
        return;
    }
    if (isFailure && mayRepeat() && trySendAgain()) {
        chooseUpstream();
        return;
    }
    forwardAnswer();
}

void CallerCall::forwardAnswer()
{
    if (m_hasStartedAnswer) {
        if (!m_answer.rest().empty())
            m_exchange->sendChunk(m_answer.rest());
        m_exchange->endStream();
        finish("answered", "");
        return;
    }
    const int status = m_answer.attributes()->status;
    // An answer that nobody vouches for must not pass for one, and a status that promises that the request
    // has not run must be true.
    const bool isFalsePromise = isPromiseOfNoRun(status) && !m_admission.route->mayRepeat();
    if (m_answer.isUnvouched() || isFalsePromise) {
        fail(statusBadGateway, m_answer.isUnvouched() ? "unvouched_answer" : "ambiguous_status");
        return;
    }
    m_firstByte = elapsed();
    reply(status, m_services.translator.callerHeaders(m_answer.headers()), m_answer.rest(), "answered", "");
}

bool CallerCall::mayRepeat() const
{
    return m_admission.route->mayRepeat() && m_runs < m_admission.route->maximumAttempts
        && m_sends < maximumSends;
}

bool CallerCall::trySendAgain()
{
    if (!m_services.retries.trySendAgain(m_admission.serviceId, m_services.loop.now())) {
        ++m_services.metrics.counter("lacewing_retries_denied_total");
        return false;
    }
    ++m_services.metrics.counter("lacewing_retries_total");
    return true;
}

void CallerCall::handleNotExecuted()
{
    if (m_hasStartedAnswer) {
        handleBrokenStream();
        return;
    }
    if (m_sends < maximumSends && trySendAgain()) {
        m_search.allowOneMore();
        chooseUpstream();
        return;
    }
    if (m_mayHaveRun)
        fail(statusBadGateway, "not_executed_after_failure");
    else
        refuse(CallRefusal::NotExecuted, noUpstreamRetryAfter);
}

void CallerCall::handleFailure(const char* reason)
{
    if (mayRepeat() && trySendAgain()) {
        chooseUpstream();
        return;
    }
    fail(statusBadGateway, reason);
}

void CallerCall::handleBrokenStream()
{
    m_answer.cutOff();
    const bool canResume
        = m_admission.route->isResumable && m_answer.events().lastId() && mayRepeat() && trySendAgain();
    if (canResume) {
        m_search.allowOneMore();
        chooseUpstream();
        return;
    }
    m_exchange->abort();
    finish("failed", "stream_broken");
}

// An upstream that went dark does not reset its connections.
void CallerCall::watchSilence()
{
    if (m_admission.route->kind != RouteKind::Idempotent || m_runs + 1 >= m_admission.route->maximumAttempts)
        return;
    const auto wait = std::chrono::duration_cast<Duration>(silenceShare * m_admission.route->targetLatency);
    m_silenceTimer = m_services.loop.runAfter(wait, [this] {
        m_silenceTimer = 0;
        const bool hasOther = m_services.upstreams.usable(m_admission.serviceId).size() > m_tried.size();
        if (!hasOther || !trySendAgain())
            return;
        ++m_runs;
        m_mayHaveRun = true;
        exchangeEnded(ExchangeOutcome::Unreachable, RunOutcome::EngineFailed);
        chooseUpstream();
    });
}

void CallerCall::deadlinePassed()
{
    const auto self = shared_from_this();
    const bool wasSent = m_call != nullptr;
    exchangeEnded(ExchangeOutcome::Unreachable, RunOutcome::EngineFailed);
    if (m_hasStartedAnswer) {
        m_exchange->abort();
        finish("failed", "stream_timeout");
    } else if (wasSent || m_mayHaveRun)
        fail(statusGatewayTimeout, "upstream_timeout");
    else
        refuse(CallRefusal::NotInTime, noUpstreamRetryAfter);
}

void CallerCall::callerLeft()
{
    const auto self = shared_from_this();
    const bool wasSilent = !m_firstByte && elapsed() > m_admission.route->targetLatency;
    exchangeEnded(wasSilent ? ExchangeOutcome::Unreachable : ExchangeOutcome::Answered, RunOutcome::Finished);
    finish("cancelled", "caller_left");
}

void CallerCall::refuse(CallRefusal refusal, std::optional<Duration> retryAfter)
{
    if (m_hasStartedAnswer) {
        m_exchange->abort();
        finish("failed", toString(refusal));
        return;
    }
    if (m_mayHaveRun) {
        fail(statusBadGateway, toString(refusal));
        return;
    }
    if (m_admission.charge > 0)
        m_services.usage.refund(
            m_admission.workspace->id, std::exchange(m_admission.charge, 0), m_services.loop.now());
    ++m_services.metrics.counter("lacewing_refusals_total", { { "reason", toString(refusal) } });
    if (retryAfter)
        retryAfter = jittered(*retryAfter);
    reply(statusUnavailable, m_services.translator.ownAnswerHeaders(m_attributes.requestId, retryAfter), "",
        "refused", toString(refusal));
}

void CallerCall::fail(int status, const char* reason)
{
    ++m_services.metrics.counter("lacewing_failures_total", { { "reason", reason } });
    reply(status, m_services.translator.ownAnswerHeaders(m_attributes.requestId, std::nullopt), "", "failed",
        reason);
}

void CallerCall::reply(
    int status, const HttpHeaders& headers, std::string_view body, const char* outcome, const char* reason)
{
    if (!body.empty() || *reason == '\0')
        m_exchange->reply(status, headers, body);
    else
        m_exchange->reply(status, headers, nlohmann::json { { "error", reason } }.dump());
    finish(outcome, reason);
}

void CallerCall::finish(const char* outcome, const char* reason)
{
    if (std::exchange(m_isFinished, true))
        return;
    m_services.loop.cancel(std::exchange(m_deadlineTimer, 0));
    m_services.loop.cancel(std::exchange(m_silenceTimer, 0));
    LogEvent(LogLevel::Info, "call")
        .with("request", m_attributes.requestId)
        .with("route", m_admission.route ? m_admission.route->id.value() : "")
        .with("workspace", m_admission.workspace ? m_admission.workspace->id.value() : "")
        .with("revision", m_configuration ? m_configuration->revision().value() : 0)
        .with("adapter", m_attributes.adapter)
        .with("upstream", m_upstream)
        .with("asks", m_search.attempts())
        .with("sends", m_sends)
        .with("status", m_answer.attributes() ? m_answer.attributes()->status : 0)
        .with("first_byte_ms", m_firstByte ? toMilliseconds(*m_firstByte) : -1)
        .with("longest_pause_ms", toMilliseconds(m_answer.longestPause()))
        .with("ms", toMilliseconds(elapsed()))
        .with("outcome", outcome)
        .with("reason", reason);
    MetricsRegistry& metrics = m_services.metrics;
    ++metrics.counter("lacewing_calls_total", { { "outcome", outcome } });
    metrics.histogram("lacewing_call_seconds", { { "outcome", outcome } }).observe(toSeconds(elapsed()));
    if (m_firstByte && m_admission.route) {
        const char* kind = toString(m_admission.route->kind);
        metrics.histogram("lacewing_first_byte_seconds", { { "kind", kind } })
            .observe(toSeconds(*m_firstByte));
    }
    m_finished(this);
}

} // namespace lacewing::gateway
