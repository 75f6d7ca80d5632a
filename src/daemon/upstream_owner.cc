#include "daemon/upstream_owner.h"

#include "state/refusal.h"

#include <utility>

namespace lacewing {

namespace {

constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;
constexpr Duration retryDelay = std::chrono::seconds(1);
/// Interval of the check for expired requests, and so the longest delay of their rejection.
constexpr Duration expiryInterval = std::chrono::milliseconds(50);

} // namespace

UpstreamOwner::UpstreamOwner(
    OwnerContext context, UpstreamConfig config, std::unique_ptr<RequestQueue> queue, LeaseCheck mayAct)
    : m_context(context)
    , m_config(std::move(config))
    , m_queue(std::move(queue))
    , m_mayAct(std::move(mayAct))
{
}

UpstreamOwner::~UpstreamOwner()
{
    m_context.scheduler.cancel(m_expiryTimer);
    m_context.scheduler.cancel(m_cleanupTimer);
}

void UpstreamOwner::submit(const HostId& entry, const RunRequest& message)
{
    if (m_isDraining || m_config.state == UpstreamState::Draining)
        return refuse(entry, refusedRun(message.stream, refusal::leaving, statusUnavailable, retryDelay));
    if (!m_mayAct(Duration::zero()))
        return refuse(
            entry, refusedRun(message.stream, refusal::sessionInvalid, statusUnavailable, retryDelay));
    if (!isReachable())
        return refuse(
            entry, refusedRun(message.stream, refusal::upstreamUnreachable, statusUnavailable, retryDelay));
    auto request = std::make_unique<Request>();
    request->entry = entry;
    request->message = message;
    QueuedRequest& queued = request->queued;
    queued.id = QueuedRequestId(m_nextId++);
    queued.workspace = message.workspace;
    queued.adapter = { message.adapter, message.version };
    queued.requestClass = message.requestClass;
    queued.cost = message.cost;
    queued.arrival = now();
    queued.startDeadline = now() + std::chrono::milliseconds(message.deadlineMs);
    if (!m_queue->push(queued))
        return refuse(
            entry, refusedRun(message.stream, refusal::queueFull, statusTooManyRequests, retryDelay));
    m_origins[{ entry, message.stream }] = queued.id;
    m_requests.emplace(queued.id, std::move(request));
    scheduleExpiry();
    startWaiting();
    requestsChanged();
}

void UpstreamOwner::cancel(const HostId& entry, StreamId stream)
{
    const auto origin = m_origins.find({ entry, stream });
    if (origin == m_origins.end())
        return;
    remove(origin->second, Tokens(0));
    startWaiting();
    requestsChanged();
}

void UpstreamOwner::addWindow(const HostId& entry, const RunWindow& window)
{
    const auto origin = m_origins.find({ entry, window.stream });
    if (origin == m_origins.end())
        return;
    Request& request = *m_requests.at(origin->second);
    if (request.run)
        request.run->addWindow(window.bytes);
}

void UpstreamOwner::entryLost(const HostId& entry)
{
    std::vector<QueuedRequestId> lost;
    for (const auto& [id, request] : m_requests) {
        if (request->entry == entry)
            lost.push_back(id);
    }
    for (const QueuedRequestId id : lost)
        remove(id, Tokens(0));
    if (lost.empty())
        return;
    startWaiting();
    requestsChanged();
}

void UpstreamOwner::drain(std::function<void()> done)
{
    m_isDraining = true;
    m_drained = std::move(done);
    refuseAllWaiting(refusal::leaving, retryDelay);
    finishDrain();
}

void UpstreamOwner::abandon()
{
    m_isDraining = true;
    while (!m_requests.empty()) {
        const auto& [id, request] = *m_requests.begin();
        RunEnd lost = refusedRun(request->message.stream, refusal::notOwner, statusUnavailable, retryDelay);
        if (request->run) {
            lost.outcome = Outcome::Unknown;
            lost.code = refusal::ownerLost;
        }
        end(id, lost);
    }
}

UpstreamReport UpstreamOwner::report() const
{
    UpstreamReport report;
    report.upstream = m_config.id;
    report.running = static_cast<int64_t>(m_running);
    report.queued = static_cast<int64_t>(m_requests.size() - m_running);
    return report;
}

void UpstreamOwner::startWaiting()
{
    if (!m_mayAct(Duration::zero()))
        return;
    const auto ready = [this](const AdapterKey& adapter, RequestClass requestClass) {
        return isReady(adapter, requestClass);
    };
    while (m_running < static_cast<size_t>(m_config.maximumConcurrency)) {
        const auto next = m_queue->pop(now(), ready);
        if (!next)
            return;
        Request& request = *m_requests.at(next->id);
        if (!acquire(*next)) {
            end(next->id,
                refusedRun(request.message.stream, refusal::notOwner, statusUnavailable, retryDelay));
            continue;
        }
        start(request);
    }
}

void UpstreamOwner::start(Request& request)
{
    const QueuedRequestId id = request.queued.id;
    UpstreamRun::Listener listener;
    listener.onChunk
        = [this, entry = request.entry](const RunChunk& chunk) { m_context.peers.send(entry, chunk); };
    listener.onEnd = [this, id](const RunEnd& end) { ended(id, end); };
    ++m_running;
    m_context.metrics.summary("lacewing_queue_wait_seconds")
        .observe(toSeconds(now() - request.queued.arrival));
    request.run = makeRun(request.message, std::move(listener));
    request.run->start();
}

void UpstreamOwner::ended(QueuedRequestId id, const RunEnd& result)
{
    if (m_requests.count(id) == 0)
        return;
    end(id, result);
    startWaiting();
    requestsChanged();
}

void UpstreamOwner::end(QueuedRequestId id, const RunEnd& result)
{
    m_context.peers.send(m_requests.at(id)->entry, result);
    remove(id, Tokens(result.promptTokens + result.generatedTokens));
}

void UpstreamOwner::remove(QueuedRequestId id, Tokens served)
{
    auto node = m_requests.extract(id);
    std::unique_ptr<Request> request = std::move(node.mapped());
    m_origins.erase({ request->entry, request->message.stream });
    if (!request->run) {
        // The request is still queued, or pop() has counted it as running but acquire() failed.
        if (!m_queue->erase(id))
            m_queue->settle(id, Tokens(0));
        return;
    }
    --m_running;
    m_queue->settle(id, served);
    release(request->queued);
    m_ended.push_back(std::move(request));
    if (m_cleanupTimer == 0) {
        m_cleanupTimer = m_context.scheduler.runAfter(Duration::zero(), [this] {
            m_cleanupTimer = 0;
            m_ended.clear();
        });
    }
    finishDrain();
}

void UpstreamOwner::refuse(const HostId& entry, const RunEnd& end)
{
    m_context.peers.send(entry, end);
}

void UpstreamOwner::refuseWaiting(const AdapterKey& adapter, std::string_view code, Duration retryAfter)
{
    refuseWaitingIf(
        [&](const Request& request) { return request.queued.adapter == adapter; }, code, retryAfter);
}

void UpstreamOwner::refuseAllWaiting(std::string_view code, Duration retryAfter)
{
    refuseWaitingIf([](const Request&) { return true; }, code, retryAfter);
}

template <typename Predicate>
void UpstreamOwner::refuseWaitingIf(Predicate predicate, std::string_view code, Duration retryAfter)
{
    std::vector<QueuedRequestId> waiting;
    for (const auto& [id, request] : m_requests) {
        if (!request->run && predicate(*request))
            waiting.push_back(id);
    }
    for (const QueuedRequestId id : waiting)
        end(id, refusedRun(m_requests.at(id)->message.stream, code, statusUnavailable, retryAfter));
}

void UpstreamOwner::scheduleExpiry()
{
    if (m_expiryTimer != 0)
        return;
    m_expiryTimer = m_context.scheduler.runAfter(expiryInterval, [this] {
        m_expiryTimer = 0;
        expireWaiting();
        if (m_queue->size() > 0)
            scheduleExpiry();
    });
}

void UpstreamOwner::expireWaiting()
{
    const auto wait = [this](const AdapterKey& adapter) { return minimumWait(adapter); };
    const std::vector<QueuedRequest> expired = m_queue->expire(now(), wait);
    for (const QueuedRequest& queued : expired) {
        const StreamId stream = m_requests.at(queued.id)->message.stream;
        end(queued.id, refusedRun(stream, refusal::deadlineExceeded, statusUnavailable, retryDelay));
    }
}

void UpstreamOwner::finishDrain()
{
    if (!m_isDraining || m_running > 0 || !m_drained)
        return;
    const auto drained = std::exchange(m_drained, nullptr);
    drained();
}

} // namespace lacewing
