#include "gateway/proxied_call.h"

#include "base/log.h"
#include "gateway/call_record.h"
#include "gateway/request_identity.h"
#include "gateway/upstream_statements.h"
#include "speed/attempt_time.h"

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

/// Responses that arrive this long after the time limit are still delivered.
constexpr Duration deadlineGrace = milliseconds(15);
constexpr Duration defaultTimeout = std::chrono::seconds(30);
/// Fraction of the target latency after which an idempotent request is retried at another upstream.
constexpr double attemptTimeoutFraction = 0.7;
/// Connect timeout as a fraction of the target latency.
constexpr double connectTimeoutFraction = 0.3;
constexpr Duration shortestConnectTimeout = milliseconds(40);
constexpr Duration longestConnectTimeout = milliseconds(300);
constexpr Duration staleRetryAfter = milliseconds(500);
/// Another host can serve the request at once.
constexpr Duration stoppingRetryAfter = milliseconds(20);
/// Reading of a stream is paused while more than this is buffered for the caller.
constexpr size_t maximumBufferedBytes = 256 * 1024;

} // namespace

ProxiedCall::ProxiedCall(CallServices& services, std::shared_ptr<HttpExchange> exchange,
    std::function<void(ProxiedCall*)> finished)
    : m_services(services)
    , m_exchange(std::move(exchange))
    , m_finished(std::move(finished))
    , m_arrival(services.loop.now())
    , m_flow(services.responseMemory, [this] { giveUpResponse(); })
    , m_response(services.translator.eventFormat())
{
}

ProxiedCall::~ProxiedCall()
{
    m_services.loop.cancel(m_deadlineTimer);
    m_services.loop.cancel(m_attemptTimer);
}

Duration ProxiedCall::elapsed() const
{
    return m_services.loop.now() - m_arrival;
}

Duration ProxiedCall::spread(Duration retryAfter, double shortest)
{
    constexpr double width = 0.4;
    return std::chrono::duration_cast<Duration>(
        retryAfter * (shortest + width * m_services.random.uniform()));
}

void ProxiedCall::start()
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
    m_evidence.emplace(m_services.quarantine, m_services.metrics, requestParts());
    if (refuseQuarantined())
        return;
    m_timeLimit = std::min(m_attributes.deadline.value_or(defaultTimeout), m_admission.route->timeout);
    if (mayOutlastHost()) {
        refuse(CallRefusal::Stopping, stoppingRetryAfter);
        return;
    }
    if (!chargeWorkspace())
        return;
    createSearch();
    m_exchange->onClientLeft([this] { callerLeft(); });
    m_deadlineTimer = m_services.loop.runAfter(m_timeLimit + deadlineGrace, [this] {
        m_deadlineTimer = 0;
        deadlinePassed();
    });
    m_services.retries.countRequest(m_admission.serviceId, m_services.loop.now());
    m_binding->resolve([this](VersionSource source) {
        const auto self = shared_from_this();
        startSearch(source);
    });
}

void ProxiedCall::startSearch(VersionSource source)
{
    if (m_isFinished)
        return;
    const Duration timeLeft = std::max<Duration>(m_timeLimit - elapsed(), Duration::zero());
    if (source == VersionSource::Unknown)
        refuse(CallRefusal::UnknownStreamVersion, timeLeft);
    else if (source == VersionSource::Unreadable)
        refuse(CallRefusal::UnknownStreamVersion, std::min(timeLeft, staleRetryAfter));
    else
        m_search->next();
}

void ProxiedCall::createSearch()
{
    const int priority = m_admission.priority(m_services.admitter.overloadPolicy());
    m_binding.emplace(m_services.streamVersions, m_services.metrics, m_attributes, m_admission);
    const UpstreamSearch::Subject subject { m_attributes, m_admission, *m_binding, m_arrival, m_timeLimit,
        priority };
    UpstreamSearch::Handlers handlers;
    handlers.onStart = [this] {
        const auto self = shared_from_this();
        send();
    };
    handlers.onExhausted = [this](CallRefusal refusal, Duration retryAfter) {
        const auto self = shared_from_this();
        refuse(refusal, retryAfter);
    };
    m_search = std::make_unique<UpstreamSearch>(m_services, subject, std::move(handlers));
}

void ProxiedCall::deny(CallRefusal refusal)
{
    if (refusal == CallRefusal::StaleConfiguration) {
        refuse(refusal, staleRetryAfter);
        return;
    }
    const int status = refusal == CallRefusal::UnknownKey ? statusUnauthorized : statusNotFound;
    ++m_services.metrics.counter("lacewing_denials_total", { { "reason", toString(refusal) } });
    reply(status, m_services.translator.localReplyHeaders(m_attributes.requestId, std::nullopt), "", "denied",
        toString(refusal));
}

bool ProxiedCall::refuseQuarantined()
{
    const auto holdTime = m_evidence->holdTime();
    if (holdTime)
        refuse(CallRefusal::QuarantinedPrompt, *holdTime);
    return holdTime.has_value();
}

bool ProxiedCall::mayOutlastHost() const
{
    return m_services.stopDeadline && m_admission.route->kind == RouteKind::AtMostOnce
        && m_services.loop.now() + m_timeLimit > *m_services.stopDeadline;
}

bool ProxiedCall::chargeWorkspace()
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
        m_services.translator.localReplyHeaders(m_attributes.requestId, spread(*retryAfter, 0.8)), "",
        "refused", toString(CallRefusal::OverLimit));
    return false;
}

HttpClientRequest ProxiedCall::upstreamRequest(const UpstreamEntry& entry)
{
    ForwardingFields fields;
    if (m_attributes.deadline)
        fields.deadline = *m_attributes.deadline - elapsed();
    fields.expectedUpstream = entry.id;
    if (m_admission.workspace)
        fields.workspace = m_admission.workspace->id;
    fields.urgency = m_search->urgency();
    fields.expectedVersion = m_search->version();
    if (m_response.events().hasEvents())
        fields.lastEventId = m_response.lastEventId();
    HttpClientRequest request;
    request.server = entry.address;
    request.method = m_exchange->method();
    request.target
        = m_exchange->query().empty() ? m_exchange->path() : m_exchange->path() + '?' + m_exchange->query();
    request.headers = m_services.translator.upstreamHeaders(m_exchange->headers(), fields);
    request.sharedBody = m_exchange->sharedBody();
    const auto connectTime
        = std::chrono::duration_cast<Duration>(connectTimeoutFraction * m_admission.route->targetLatency);
    request.connectTimeout = std::clamp(connectTime, shortestConnectTimeout, longestConnectTimeout);
    // The deadline and attempt timers of the call take the place of a progress timeout.
    request.progressTimeout = Duration::zero();
    // On a connection of its own the response to a request without an id can't be taken for another one's.
    const bool hasId = !m_attributes.requestId.empty();
    request.maximumIdleAge = hasId ? m_services.picker.idleAge(entry.id) : Duration::zero();
    return request;
}

void ProxiedCall::send()
{
    const UpstreamId& upstream = m_search->upstream();
    const UpstreamEntry* entry = m_services.upstreams.findUsable(upstream, m_binding->filter());
    if (!entry || m_services.upstreams.restLeft(*entry) > Duration::zero()) {
        recordWithheld(m_services, m_attributes.requestId, upstream);
        exchangeEnded(ExchangeOutcome::Answered, RunOutcome::EngineFailed);
        m_search->next();
        return;
    }
    // The request may have come into quarantine while the call waited for its start.
    if (refuseQuarantined()) {
        m_search->runEnded({ RunOutcome::Finished, Duration::zero() });
        return;
    }
    m_evidence->beginSend(upstream, entry->startedAt);
    ++m_sends;
    m_response.begin();
    m_isExchanging = true;
    m_sentAt = m_services.loop.now();
    if (m_services.limits.rate(upstream))
        ++m_services.metrics.counter("lacewing_limited_upstream_requests_total", { { "kind", "call" } });
    m_services.picker.started(upstream);
    m_services.availability.requestSent(upstream, m_sentAt);
    if (m_startedEnd)
        m_binding->recordResumption(upstream);
    m_binding->runBegins(entry->softwareVersion);
    HttpClientHandlers handlers;
    handlers.onHeaders = [this](int status, const HttpHeaders& headers) { headersArrived(status, headers); };
    handlers.onBody = [this](std::string_view bytes) { bodyArrived(bytes); };
    handlers.onDone = [this](const HttpClientResult& result) {
        const auto self = shared_from_this();
        upstreamDone(result);
    };
    m_call = m_services.client.send(upstreamRequest(*entry), std::move(handlers));
    m_flow.begin(*m_call);
    startAttemptTimer();
}

void ProxiedCall::headersArrived(int status, const HttpHeaders& headers)
{
    m_services.loop.cancel(std::exchange(m_attemptTimer, 0));
    const ResponseAttributes attributes = m_services.translator.readResponse(status, headers);
    const bool isSpeedNew = attributes.load
        && m_services.picker.loadReported(m_search->upstream(), *attributes.load, m_services.loop.now());
    if (isSpeedNew)
        LogEvent(LogLevel::Info, "upstream_states_slowdown")
            .with("upstream", m_search->upstream())
            .with("slowdown", *attributes.load->slowdown);
    if (attributes.keepAlive)
        m_services.picker.keepAliveReported(m_search->upstream(), *attributes.keepAlive);
    const ExchangeContext exchange = exchangeContext();
    SentRequest request;
    request.id = exchange.requestId;
    request.upstream = exchange.upstream;
    request.namesModel = !m_attributes.model.empty();
    request.isOnReusedConnection = exchange.isOnReusedConnection;
    request.expectsEvents = m_admission.route->kind == RouteKind::Stream;
    request.isHead = m_exchange->method() == "HEAD";
    m_response.headArrived(attributes, headers, request);
    const bool isOwnLoad = attributes.load && !m_response.isForeign();
    m_slowdown = isOwnLoad ? attributes.load->slowdown : std::nullopt;
    observeStatements(m_services, m_response,
        { exchange.requestId, exchange.upstream, m_evidence->upstreamStartedAt(), m_sentAt });
    m_flow.needs(m_response.expectedBytes());
    if (!m_response.isForeign() || !m_call)
        return;
    recordForeignResponse(m_services.metrics, exchange, attributes);
    // The response to this request may follow on the connection, so no other request may use it.
    m_call->cancel();
}

ExchangeContext ProxiedCall::exchangeContext() const
{
    return { m_attributes.requestId, m_search->upstream(), m_call && m_call->isOnReusedConnection(),
        m_call && m_call->isIdRepeated() };
}

void ProxiedCall::bodyArrived(std::string_view bytes)
{
    const std::string events = m_response.bodyArrived(bytes, m_services.loop.now());
    if (!events.empty()) {
        m_evidence->answerBegan();
        m_binding->eventsArrived([this] { streamRecorded(); });
        m_heldEvents += events;
        releaseEvents();
    }
    m_flow.needs(m_response.expectedBytes());
    const bool isOversized = m_response.exceedsSizeLimit();
    if (!m_call || (!isOversized && !m_response.events().fault()))
        return;
    if (isOversized)
        recordOversizedResponse(m_services.metrics, exchangeContext(), m_response);
    m_call->cancel();
}

void ProxiedCall::giveUpResponse()
{
    recordGivenUpResponse(m_services.metrics, exchangeContext(), m_response);
    if (m_call)
        m_call->cancel();
}

PartSet ProxiedCall::requestParts() const
{
    const std::string authority = m_exchange->headers().find("Host").value_or("");
    PartSet parts = PartSet::of(m_attributes.promptParts);
    parts.add({ requestHash({ m_exchange->method(), authority, m_exchange->path(), m_exchange->query(),
        m_attributes.key.value_or(""), m_exchange->body() }) });
    return parts;
}

void ProxiedCall::releaseEvents()
{
    if (m_heldEvents.empty())
        return;
    m_flow.setHeld(!m_binding->mayForward());
    if (m_binding->mayForward())
        forwardEvents(std::exchange(m_heldEvents, {}));
}

void ProxiedCall::streamRecorded()
{
    const auto self = shared_from_this();
    if (m_isFinished)
        return;
    releaseEvents();
    if (const auto end = std::exchange(m_heldEnd, std::nullopt))
        upstreamDone(*end);
}

void ProxiedCall::forwardEvents(const std::string& events)
{
    if (!m_startedEnd) {
        m_startedEnd = streamEnd(m_response);
        m_firstByte = elapsed();
        m_search->runProgressed(std::exchange(m_slowdown, std::nullopt));
        m_exchange->startStream(m_response.attributes()->status,
            m_services.translator.callerHeaders(m_response.headers()), *m_startedEnd);
        m_exchange->onDrained([this] { m_flow.setCallerBehind(false); });
    }
    m_exchange->sendChunk(events);
    if (m_exchange->bufferedBytes() > maximumBufferedBytes)
        m_flow.setCallerBehind(true);
}

void ProxiedCall::exchangeEnded(ExchangeOutcome outcome, RunOutcome runOutcome)
{
    m_services.loop.cancel(std::exchange(m_attemptTimer, 0));
    if (std::exchange(m_isExchanging, false))
        m_services.picker.ended(m_search->upstream(), outcome, m_services.loop.now());
    m_flow.end();
    m_call.reset();
    m_search->runEnded({ runOutcome, m_response.longestPause(), std::exchange(m_slowdown, std::nullopt) });
}

void ProxiedCall::upstreamDone(const HttpClientResult& result)
{
    if (m_isFinished)
        return;
    if (!m_heldEvents.empty()) {
        m_heldEnd = result;
        return;
    }
    m_response.ended(result.hasFieldsOutsideHead);
    const ExchangeEnd end = endOfExchange(m_response, result, m_startedEnd);
    const CallDecision decision = decide(end, progress(end));
    // What is said of the response is over once the next exchange begins.
    const char* reason = failureReason(m_response, end, result.error);
    recordEnd(end, result);
    if (mayHaveRun(end))
        ++m_possibleRuns;
    const CallStep step = resolve(decision);
    // Engines that admitted the call and did not run it don't count among those that may be asked.
    if (end == ExchangeEnd::NotExecuted || step == CallStep::Resume)
        m_search->allowOneMoreOwner();
    take(step, reason);
}

void ProxiedCall::recordEnd(ExchangeEnd end, const HttpClientResult& result)
{
    const ExchangeContext exchange = exchangeContext();
    if (result.droppedAnswers > 0)
        recordDroppedAnswers(m_services.metrics, exchange, result.droppedAnswers);
    if (m_response.isStream())
        recordStreamEnd(m_services.metrics, exchange, m_response, result.error);
    if (!result.error && m_response.hasUnmarkedEnd())
        recordUnmarkedEnd(m_services.metrics, exchange, m_response);
    if (end == ExchangeEnd::NotSent)
        recordNotSent(m_services.metrics, exchange, result.error);
    else if (m_response.matchesRequest())
        recordStatement(m_services.metrics, exchange, m_response);
    const bool isWhole = !result.error && m_response.matchesRequest() && !m_response.isCutOff();
    if (end == ExchangeEnd::NotExecuted) {
        exchangeEnded(ExchangeOutcome::Rejected, RunOutcome::AdapterMissing);
    } else if (end == ExchangeEnd::NotSent) {
        exchangeEnded(ExchangeOutcome::Unreachable, RunOutcome::EngineFailed);
    } else if (!isWhole) {
        if (result.error == HttpClientError::ConnectionLost && !m_response.attributes())
            m_services.picker.reusedConnectionLost(m_search->upstream());
        m_evidence->runBroke(exchange, result.error, m_response.isForeign());
        exchangeEnded(ExchangeOutcome::Unreachable, RunOutcome::EngineFailed);
    } else {
        if (m_response.isSuccess()) {
            m_evidence->answerBegan();
            const MonotonicTime now = m_services.loop.now();
            m_services.picker.speeds().runEnded(m_search->upstream(), now - m_sentAt, now);
        }
        // An upstream that was to resume a stream and sent none has failed.
        const bool isFailure = end == ExchangeEnd::AmbiguousRejection || end == ExchangeEnd::Failed
            || (m_startedEnd && !m_response.isStream());
        exchangeEnded(isFailure ? ExchangeOutcome::Failed : ExchangeOutcome::Answered, RunOutcome::Finished);
    }
}

CallProgress ProxiedCall::progress(ExchangeEnd end) const
{
    CallProgress progress;
    progress.mayRepeat = mayRepeat();
    progress.maximumAttempts = m_admission.route->maximumAttempts;
    progress.sends = m_sends;
    progress.possibleRuns = m_possibleRuns;
    progress.hasStartedResponse = m_startedEnd.has_value();
    progress.canResume = m_admission.route->isResumable && m_response.lastEventId();
    const bool isServed = end == ExchangeEnd::Answered || end == ExchangeEnd::Streamed;
    progress.hasAlternative = progress.mayRepeat && !isServed && m_search->hasAlternative();
    return progress;
}

CallStep ProxiedCall::resolve(const CallDecision& decision)
{
    return decision.ifDenied && !tryRetry() ? *decision.ifDenied : decision.step;
}

void ProxiedCall::take(CallStep step, const char* reason)
{
    switch (step) {
    case CallStep::Forward:
        forwardResponse();
        return;
    case CallStep::Resume:
    case CallStep::Resend:
        m_search->next();
        return;
    case CallStep::Wait:
        return;
    case CallStep::Refuse:
        refuse(CallRefusal::NotExecuted, UpstreamSearch::noUpstreamRetryAfter);
        return;
    case CallStep::Fail:
        fail(statusBadGateway, reason);
        return;
    case CallStep::Abort:
        m_exchange->abort();
        finish("failed", "stream_broken");
        return;
    }
}

void ProxiedCall::forwardResponse()
{
    if (m_startedEnd) {
        if (!m_response.remainingBody().empty())
            m_exchange->sendChunk(m_response.remainingBody());
        m_exchange->endStream();
        finish("answered", "");
        return;
    }
    const int status = m_response.attributes()->status;
    m_firstByte = elapsed();
    const HttpHeaders headers = m_services.translator.callerHeaders(m_response.headers());
    if (streamEnd(m_response) == StreamEnd::LastChunk) {
        reply(status, headers, m_response.remainingBody(), "answered", "");
        return;
    }
    m_exchange->startStream(status, headers, StreamEnd::ConnectionClose);
    m_exchange->sendChunk(m_response.remainingBody());
    m_exchange->endStream();
    finish("answered", "");
}

bool ProxiedCall::mayRepeat() const
{
    if (!m_admission.route->mayRepeat())
        return false;
    const auto newest = m_services.configuration.current();
    if (!newest || newest == m_configuration)
        return true;
    const std::string host = m_exchange->headers().find("Host").value_or("");
    const Route* route = newest->findRoute(host, m_exchange->path());
    return route && route->mayRepeat();
}

bool ProxiedCall::tryRetry()
{
    if (!m_services.retries.tryRetry(m_admission.serviceId, m_services.loop.now())) {
        ++m_services.metrics.counter("lacewing_retries_denied_total");
        return false;
    }
    ++m_services.metrics.counter("lacewing_retries_total");
    return true;
}

// An unreachable upstream does not reset its connections, so only a timer detects it.
void ProxiedCall::startAttemptTimer()
{
    if (m_admission.route->kind != RouteKind::Idempotent
        || m_possibleRuns + 1 >= m_admission.route->maximumAttempts)
        return;
    const auto usual
        = std::chrono::duration_cast<Duration>(attemptTimeoutFraction * m_admission.route->targetLatency);
    const double slowdown = m_services.picker.speeds().slowdown(m_search->upstream(), m_services.loop.now());
    const Duration wait = speed::attemptTime(usual, slowdown, m_timeLimit - elapsed());
    m_attemptTimer = m_services.loop.runAfter(wait, [this] {
        m_attemptTimer = 0;
        attemptTimedOut();
    });
}

void ProxiedCall::attemptTimedOut()
{
    if (resolve(decide(ExchangeEnd::Silent, progress(ExchangeEnd::Silent))) != CallStep::Resend)
        return;
    ++m_possibleRuns;
    exchangeEnded(ExchangeOutcome::Unreachable, RunOutcome::EngineFailed);
    m_search->next();
}

void ProxiedCall::deadlinePassed()
{
    const auto self = shared_from_this();
    const bool isSent = m_call != nullptr;
    const CallStep step = decideEnd(m_possibleRuns + (isSent ? 1 : 0), m_startedEnd.has_value());
    exchangeEnded(ExchangeOutcome::Unreachable, RunOutcome::EngineFailed);
    if (step == CallStep::Abort) {
        m_exchange->abort();
        finish("failed", "stream_timeout");
    } else if (step == CallStep::Fail)
        fail(statusGatewayTimeout, "upstream_timeout");
    else
        refuse(CallRefusal::NotInTime, UpstreamSearch::noUpstreamRetryAfter);
}

void ProxiedCall::callerLeft()
{
    const auto self = shared_from_this();
    const bool wasUnresponsive = !m_firstByte && elapsed() > m_admission.route->targetLatency;
    exchangeEnded(
        wasUnresponsive ? ExchangeOutcome::Unreachable : ExchangeOutcome::Answered, RunOutcome::Finished);
    finish("cancelled", "caller_left");
}

void ProxiedCall::refuse(CallRefusal refusal, std::optional<Duration> retryAfter)
{
    const CallStep step = decideEnd(m_possibleRuns, m_startedEnd.has_value());
    if (step == CallStep::Abort) {
        m_exchange->abort();
        finish("failed", toString(refusal));
        return;
    }
    if (step == CallStep::Fail) {
        fail(statusBadGateway, toString(refusal));
        return;
    }
    if (m_admission.charge > 0)
        m_services.usage.refund(
            m_admission.workspace->id, std::exchange(m_admission.charge, 0), m_services.loop.now());
    ++m_services.metrics.counter("lacewing_refusals_total", { { "reason", toString(refusal) } });
    // Before these have passed the request would be rejected again.
    const bool isLowerBound = refusal == CallRefusal::UpstreamLimit
        || refusal == CallRefusal::UpstreamsResting || refusal == CallRefusal::QuarantinedPrompt
        || refusal == CallRefusal::UnknownStreamVersion || refusal == CallRefusal::NoUpstreamOfVersion;
    if (retryAfter)
        retryAfter = spread(*retryAfter, isLowerBound ? 1 : 0.8);
    reply(statusUnavailable, m_services.translator.localReplyHeaders(m_attributes.requestId, retryAfter), "",
        "refused", toString(refusal));
}

void ProxiedCall::fail(int status, const char* reason)
{
    ++m_services.metrics.counter("lacewing_failures_total", { { "reason", reason } });
    reply(status, m_services.translator.localReplyHeaders(m_attributes.requestId, std::nullopt), "", "failed",
        reason);
}

void ProxiedCall::reply(
    int status, const HttpHeaders& headers, std::string_view body, const char* outcome, const char* reason)
{
    if (!body.empty() || *reason == '\0')
        m_exchange->reply(status, headers, body);
    else
        m_exchange->reply(status, headers, nlohmann::json { { "error", reason } }.dump());
    finish(outcome, reason);
}

void ProxiedCall::finish(const char* outcome, const char* reason)
{
    if (std::exchange(m_isFinished, true))
        return;
    m_services.loop.cancel(std::exchange(m_deadlineTimer, 0));
    m_services.loop.cancel(std::exchange(m_attemptTimer, 0));
    m_flow.release();
    if (m_search)
        m_search->stop();
    CallRecord record(m_attributes, m_admission, m_response);
    record.revision = m_configuration ? m_configuration->revision() : Revision();
    record.upstream = m_search ? m_search->upstream() : UpstreamId();
    record.softwareVersion = m_binding ? m_binding->runVersion() : SoftwareVersion();
    record.askedOwners = m_search ? m_search->askedOwners() : 0;
    record.sends = m_sends;
    record.firstByte = m_firstByte;
    record.duration = elapsed();
    record.outcome = outcome;
    record.reason = reason;
    recordCall(m_services.metrics, record);
    m_finished(this);
}

} // namespace lacewing::gateway
