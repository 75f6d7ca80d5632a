#include "daemon/entry_request.h"

#include "base/digest.h"
#include "state/refusal.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

constexpr int statusTooManyRequests = 429;
constexpr int statusBadRequest = 400;
constexpr int statusConflict = 409;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
/// Longest time that a request waits for tokens of its workspace before it is rejected.
constexpr Duration reserveTimeout = std::chrono::milliseconds(200);
constexpr Duration retryAfterFault = std::chrono::seconds(1);
constexpr Duration retryAfterOutage = std::chrono::seconds(5);
/// Time that a repeat of a running call waits for the call's answer. Covers the writing of the answer of a
/// call that has just been answered, with one retry.
constexpr Duration claimPatience = std::chrono::seconds(5);
/// Delay before the claim of a running call is read again; it doubles up to the longest one.
constexpr Duration firstClaimDelay = std::chrono::milliseconds(20);
constexpr Duration longestClaimDelay = std::chrono::milliseconds(500);
/// Delay between attempts when no upstream can be chosen.
constexpr Duration noUpstreamRetryDelay = std::chrono::milliseconds(100);
/// Maximum attempts for one request, including the first.
constexpr int maximumAttempts = 6;
/// A response that makes no progress for this long is resumed on another upstream, or ends as unknown.
constexpr Duration progressTimeout = std::chrono::seconds(15);
constexpr Duration progressCheckInterval = std::chrono::seconds(1);
/// No more credit is granted to the owner while more bytes than this wait to be sent to the caller.
constexpr size_t callerBufferBytes = 256 * 1024;
/// Minimum credit that is sent to the owner in one message.
constexpr int64_t creditStepBytes = 32 * 1024;
/// Start deadline of routes that don't set one.
constexpr Duration defaultStartDeadline = std::chrono::seconds(30);

bool isBadRequest(std::string_view code)
{
    return code == refusal::invalidRequest;
}

} // namespace

EntryRequest::EntryRequest(EntryContext context, std::shared_ptr<HttpExchange> exchange,
    AdmittedRequest request, std::string id, std::function<void()> finished)
    : m_context(std::move(context))
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_id(std::move(id))
    , m_finished(std::move(finished))
    , m_writer(ResponseWriter::create(m_exchange, m_request, m_id))
    , m_arrival(now())
    , m_lastProgress(now())
    , m_claimDelay(firstClaimDelay)
{
    const int64_t deadline = m_request.route.startDeadlineMs;
    m_startDeadline = now() + (deadline > 0 ? std::chrono::milliseconds(deadline) : defaultStartDeadline);
}

EntryRequest::~EntryRequest()
{
    m_context.scheduler.cancel(m_retryTimer);
    m_context.scheduler.cancel(m_progressTimer);
}

void EntryRequest::start()
{
    m_context.retryBudget.countRequest();
    m_exchange->onClientLeft(m_lifetime.guard([this] { callerLeft(); }));
    m_exchange->onDrained(m_lifetime.guard([this] { sendCredit(); }));
    if (m_request.cost == Tokens(0))
        return claim();
    m_context.quotaClient.reserve(m_request.workspace, m_request.cost, now() + reserveTimeout,
        m_lifetime.guard([this](const ReserveResult& result) { reserved(result); }));
}

void EntryRequest::reserved(const ReserveResult& result)
{
    if (m_isFinished) {
        // The caller disconnected while the request waited for tokens.
        if (result.reservation)
            m_context.quotaClient.settle(*result.reservation, Tokens(0));
        return;
    }
    if (result.reservation) {
        m_reservation = result.reservation;
        return claim();
    }
    RefusalAnswer refused { statusTooManyRequests, toString(*result.error),
        "the workspace has used up its rate and burst", Outcome::RefusedNotRun, result.retryAfter };
    if (*result.error == ReserveError::ExceedsBurst) {
        refused.message = "the request may cost more tokens than the workspace's burst";
        refused.retryAfter.reset();
    }
    fail(refused);
}

void EntryRequest::claim()
{
    if (m_request.route.repeatable)
        return dispatch();
    const ServiceCall& call = *m_request.service;
    const std::string fingerprint = sha256Hex(call.method + " " + call.target + "\n" + call.body);
    m_context.claims.begin(m_request.workspace, m_request.requestId, fingerprint,
        m_lifetime.guard([this](const ClaimResult& result) { claimed(result); }));
}

void EntryRequest::claimed(const ClaimResult& result)
{
    m_hasClaim = result.verdict == ClaimVerdict::Run;
    if (m_isFinished)
        return endClaim(Outcome::RefusedNotRun, nullptr);
    switch (result.verdict) {
    case ClaimVerdict::Run:
        return dispatch();
    case ClaimVerdict::StoredAnswer:
        m_writer->write(result.answer->body);
        m_writer->finish({ result.answer->status, result.answer->contentType, "", {} });
        return finish(Outcome::Answered, "", Tokens(0));
    case ClaimVerdict::InProgress:
        return waitForClaim();
    case ClaimVerdict::Unknown:
        return fail({ statusBadGateway, std::string(refusal::claimOutcomeUnknown),
            "a call with this Idempotency-Key may have run, and its answer is lost", Outcome::Unknown,
            std::nullopt });
    case ClaimVerdict::DifferentBody:
        return fail({ statusConflict, std::string(refusal::claimConflict),
            "this Idempotency-Key was used for another call", Outcome::RefusedNotRun, std::nullopt });
    case ClaimVerdict::TableDown:
        return fail({ statusUnavailable, std::string(refusal::claimUnavailable),
            "calls that run at most once are not possible now", Outcome::RefusedNotRun, retryAfterOutage });
    }
}

void EntryRequest::waitForClaim()
{
    if (now() + m_claimDelay > std::min(m_arrival + claimPatience, m_startDeadline)) {
        return fail({ statusConflict, std::string(refusal::claimInProgress),
            "a call with this Idempotency-Key is running", Outcome::Unknown, retryAfterFault });
    }
    m_retryTimer = m_context.scheduler.runAfter(m_claimDelay, [this] {
        m_retryTimer = 0;
        claim();
    });
    m_claimDelay = std::min(2 * m_claimDelay, longestClaimDelay);
}

void EntryRequest::endClaim(Outcome outcome, const ResponseEnd* answer)
{
    if (!std::exchange(m_hasClaim, false))
        return;
    const auto ignored = [](bool) {};
    if (answer) {
        m_context.claims.complete(m_request.workspace, m_request.requestId,
            { answer->status, answer->contentType, m_writer->body() }, ignored);
    } else if (outcome == Outcome::RefusedNotRun) {
        m_context.claims.release(m_request.workspace, m_request.requestId, ignored);
    } else {
        m_context.claims.abandon(m_request.workspace, m_request.requestId, ignored);
    }
}

void EntryRequest::dispatch()
{
    if (m_isFinished)
        return;
    if (m_nextToken == 0 && now() >= m_startDeadline) {
        return fail({ statusUnavailable, std::string(refusal::deadlineExceeded),
            "the request could not be started in time", Outcome::RefusedNotRun, retryAfterFault });
    }
    const auto target = m_context.router.choose(m_request, m_excluded);
    if (!target) {
        // Upstreams that failed earlier are eligible again for the next attempt.
        m_excluded.clear();
        return retryOrFail(refusal::noUpstream,
            { statusUnavailable, std::string(refusal::noUpstream), "no upstream can take the request now",
                mayHaveRun() ? Outcome::Unknown : Outcome::RefusedNotRun, retryAfterFault });
    }
    ++m_attempts;
    m_target = *target;
    m_stream = m_context.newStream();
    m_lastProgress = now();
    if (!m_context.peers.send(m_target.owner, makeRunRequest())) {
        m_context.streamEnded(std::exchange(m_stream, StreamId(0)));
        m_excluded.insert(m_target.upstream);
        return retryOrFail(refusal::noOwner,
            { statusUnavailable, std::string(refusal::noOwner), "the owner of the upstream can't be reached",
                mayHaveRun() ? Outcome::Unknown : Outcome::RefusedNotRun, retryAfterFault });
    }
    m_context.router.started(m_target, m_request);
    if (m_progressTimer == 0)
        checkProgress();
}

RunRequest EntryRequest::makeRunRequest() const
{
    RunRequest run;
    run.stream = m_stream;
    // A plain service gets only an Idempotency-Key that the caller chose, because it may store responses
    // under it.
    const bool needsId = m_request.completion && m_request.requestId.empty();
    run.requestId = needsId ? RequestId(m_id) : m_request.requestId;
    run.workspace = m_request.workspace;
    run.route = m_request.route.id;
    run.adapter = m_request.adapter.adapter;
    run.version = m_request.adapter.version;
    run.model = m_request.baseModel;
    run.upstream = m_target.upstream;
    run.cost = m_request.cost;
    run.requestClass = m_request.route.requestClass;
    // The start deadline doesn't apply to a resumed stream, which has already started; it gets a new default
    // deadline for its wait in the queue.
    const Duration left = m_nextToken > 0 ? defaultStartDeadline : m_startDeadline - now();
    run.deadlineMs = std::max<int64_t>(1, toMilliseconds(left));
    run.resumeFrom = m_nextToken;
    run.repeatable = m_request.route.repeatable;
    if (m_request.completion) {
        run.streaming = m_request.completion->streaming;
        run.path
            = m_request.completion->kind == CompletionKind::Chat ? "/v1/chat/completions" : "/v1/completions";
        run.body = m_request.completion->engineBody;
    } else {
        run.method = m_request.service->method;
        run.path = m_request.service->target;
        run.contentType = m_request.service->contentType;
        run.body = m_request.service->body;
    }
    return run;
}

void EntryRequest::received(const HostId&, const RunChunk& chunk)
{
    if (m_isFinished || chunk.stream != m_stream)
        return;
    m_lastProgress = now();
    if (m_request.completion && chunk.firstToken != m_nextToken) {
        // Tokens are missing, so the rest of this attempt can't be used.
        m_context.peers.send(m_target.owner, RunCancel { m_stream });
        return lost(refusal::upstreamLost);
    }
    if (m_nextToken == 0 && chunk.tokens > 0)
        m_context.metrics.summary("lacewing_first_token_seconds").observe(toSeconds(now() - m_arrival));
    m_nextToken += chunk.tokens;
    m_mayHaveRun = true;
    // The body of a non-repeatable call is stored with its claim, even if the caller has disconnected.
    if (!m_hasCallerLeft || m_hasClaim)
        m_writer->write(chunk.bytes);
    m_pendingCredit += static_cast<int64_t>(chunk.bytes.size());
    sendCredit();
}

void EntryRequest::sendCredit()
{
    const bool isCallerSlow = !m_hasCallerLeft && m_exchange->bufferedBytes() > callerBufferBytes;
    if (m_isFinished || m_stream == StreamId(0) || m_pendingCredit < creditStepBytes || isCallerSlow)
        return;
    m_context.peers.send(m_target.owner, RunWindow { m_stream, m_pendingCredit });
    m_pendingCredit = 0;
}

void EntryRequest::received(const HostId&, const RunEnd& end)
{
    if (m_isFinished || end.stream != m_stream)
        return;
    m_lastProgress = now();
    switch (end.outcome) {
    case Outcome::Answered:
        return answered(end);
    case Outcome::RefusedNotRun:
        return notRun(end);
    case Outcome::Unknown:
        return lost(end.code);
    }
}

void EntryRequest::ownerLost(const HostId& owner)
{
    if (m_isFinished || m_stream == StreamId(0) || m_target.owner != owner)
        return;
    lost(refusal::ownerLost);
}

void EntryRequest::attemptEnded(RunResult verdict)
{
    m_context.streamEnded(std::exchange(m_stream, StreamId(0)));
    m_pendingCredit = 0;
    m_context.router.finished(m_target, m_request, verdict);
}

void EntryRequest::answered(const RunEnd& end)
{
    if (m_request.completion && end.generatedTokens != m_nextToken)
        return lost(refusal::upstreamLost);
    attemptEnded(RunResult::Succeeded);
    const AnswerUsage usage { Tokens(end.promptTokens), Tokens(end.generatedTokens) };
    const ResponseEnd answer { end.status, end.contentType, end.finishReason, usage };
    endClaim(Outcome::Answered, &answer);
    if (!m_hasCallerLeft)
        m_writer->finish(answer);
    const Tokens used = m_request.completion ? usage.promptTokens + usage.generatedTokens : m_request.cost;
    finish(Outcome::Answered, "", used);
}

void EntryRequest::notRun(const RunEnd& end)
{
    // The owner contradicts itself: it has begun the answer of a call that may run only once.
    if (mayHaveRun() && !m_request.route.repeatable)
        return lost(end.code);
    const bool isUpstreamAtFault
        = end.code == refusal::upstreamUnreachable || end.code == refusal::loadFailed;
    attemptEnded(isUpstreamAtFault ? RunResult::Failed : RunResult::Neutral);
    m_excluded.insert(m_target.upstream);
    RefusalAnswer failure { end.status, end.code, "the upstream or its owner refused the request",
        mayHaveRun() ? Outcome::Unknown : Outcome::RefusedNotRun,
        std::chrono::milliseconds(end.retryAfterMs) };
    if (isBadRequest(end.code)) {
        failure.status = statusBadRequest;
        failure.retryAfter.reset();
        return fail(failure);
    }
    if (end.code == refusal::deadlineExceeded)
        return fail(failure);
    retryOrFail(end.code, failure);
}

void EntryRequest::lost(std::string_view code)
{
    m_mayHaveRun = true;
    attemptEnded(code == refusal::upstreamLost ? RunResult::Failed : RunResult::Neutral);
    m_excluded.insert(m_target.upstream);
    const RefusalAnswer failure { statusBadGateway, std::string(code),
        "the connection was lost after sending", Outcome::Unknown,
        m_request.route.repeatable ? std::optional(retryAfterFault) : std::nullopt };
    if (!m_request.route.repeatable)
        return fail(failure);
    retryOrFail(code, failure);
}

void EntryRequest::retryOrFail(std::string_view code, const RefusalAnswer& failure)
{
    // A partial service response can't be resumed, because it has no token positions.
    const bool isPartial = m_request.service && m_writer->body().size() > 0;
    if (isPartial || m_hasCallerLeft)
        return fail(failure);
    if (code == refusal::noUpstream || code == refusal::noOwner) {
        // Nothing was sent, so this attempt costs no retry budget and is limited only by time.
        const MonotonicTime giveUpAt = m_nextToken > 0 ? m_lastProgress + progressTimeout : m_startDeadline;
        return now() + noUpstreamRetryDelay < giveUpAt ? retryLater(noUpstreamRetryDelay) : fail(failure);
    }
    if (m_attempts >= maximumAttempts)
        return fail(failure);
    if (!m_context.retryBudget.tryRetry()) {
        ++m_context.metrics.counter(
            "lacewing_retries_denied_total", { { "reason", std::string(refusal::retryBudgetExhausted) } });
        return fail(failure);
    }
    ++m_context.metrics.counter("lacewing_retries_total", { { "reason", std::string(code) } });
    retryLater(Duration::zero());
}

void EntryRequest::retryLater(Duration delay)
{
    m_context.scheduler.cancel(m_retryTimer);
    m_retryTimer = m_context.scheduler.runAfter(delay, [this] {
        m_retryTimer = 0;
        dispatch();
    });
}

void EntryRequest::checkProgress()
{
    m_progressTimer = m_context.scheduler.runAfter(progressCheckInterval, [this] {
        checkProgress();
        const MonotonicTime bound
            = std::max(m_nextToken == 0 ? m_startDeadline : m_lastProgress, m_lastProgress);
        if (m_stream == StreamId(0) || now() < bound + progressTimeout)
            return;
        // The stream is stalled by a slow caller, which the HTTP server's write timeout handles.
        if (!m_hasCallerLeft && m_exchange->bufferedBytes() > callerBufferBytes)
            return;
        m_context.peers.send(m_target.owner, RunCancel { m_stream });
        lost(refusal::ownerLost);
    });
}

void EntryRequest::callerLeft()
{
    if (m_isFinished)
        return;
    m_hasCallerLeft = true;
    // A non-repeatable call goes on, so that the caller gets its stored response when it sends the call
    // again.
    if (!m_request.route.repeatable && m_stream != StreamId(0))
        return;
    if (m_stream != StreamId(0)) {
        m_context.peers.send(m_target.owner, RunCancel { m_stream });
        m_mayHaveRun = true;
        attemptEnded(RunResult::Neutral);
    }
    finish(mayHaveRun() ? Outcome::Unknown : Outcome::RefusedNotRun, refusal::callerLeft, tokensUsed());
}

void EntryRequest::stop(int status, std::string_view code, std::string message)
{
    if (m_isFinished)
        return;
    if (m_stream != StreamId(0)) {
        m_context.peers.send(m_target.owner, RunCancel { m_stream });
        m_mayHaveRun = true;
        attemptEnded(RunResult::Neutral);
    }
    fail({ status, std::string(code), std::move(message),
        mayHaveRun() ? Outcome::Unknown : Outcome::RefusedNotRun, std::nullopt });
}

Tokens EntryRequest::tokensUsed() const
{
    if (!mayHaveRun())
        return Tokens(0);
    return m_request.completion ? m_request.completion->promptTokens + Tokens(m_nextToken) : m_request.cost;
}

void EntryRequest::fail(const RefusalAnswer& refusal)
{
    if (!m_hasCallerLeft)
        m_writer->fail(refusal);
    finish(refusal.outcome, refusal.code, tokensUsed());
}

void EntryRequest::finish(Outcome outcome, std::string_view code, Tokens used)
{
    m_isFinished = true;
    endClaim(outcome, nullptr);
    m_context.scheduler.cancel(m_retryTimer);
    m_context.scheduler.cancel(m_progressTimer);
    if (m_reservation)
        m_context.quotaClient.settle(*m_reservation, used);
    ++m_context.metrics.counter("lacewing_requests_total", { { "outcome", toString(outcome) } });
    if (outcome != Outcome::Answered)
        ++m_context.metrics.counter("lacewing_refusals_total", { { "reason", std::string(code) } });
    m_context.metrics.summary("lacewing_request_seconds").observe(toSeconds(now() - m_arrival));
    m_finished();
}

} // namespace lacewing
