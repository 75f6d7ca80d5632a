#include "coordination/fair_request_queue.h"

#include <algorithm>

namespace lacewing {

namespace {

// Limits how long batch requests may occupy the upstream after a period in which they could not use their
// share, for example while adapters were loading.
constexpr double maximumBatchCredit = 4096;

} // namespace

FairRequestQueue::FairRequestQueue(Options options)
    : m_options(options)
{
}

bool FairRequestQueue::push(const QueuedRequest& request)
{
    ClassState& classState = state(request.requestClass);
    if (classState.waiting >= m_options.capacityPerClass && !isBelowShare(classState, request.workspace))
        return false;
    const Sequence sequence = m_nextSequence++;
    WorkspaceState& workspace = activate(classState, request.workspace);
    workspace.adapterQueues[request.adapter].emplace(sequence, request);
    ++workspace.waiting;
    ++classState.waiting;
    ++classState.waitingPerAdapter[request.adapter];
    m_deadlines.emplace(request.startDeadline, request.id);
    m_locations[request.id] = { request.requestClass, request.workspace, request.adapter, sequence };
    return true;
}

bool FairRequestQueue::erase(QueuedRequestId id)
{
    const auto found = m_locations.find(id);
    if (found == m_locations.end())
        return false;
    remove(Location(found->second));
    return true;
}

std::optional<QueuedRequest> FairRequestQueue::pop(MonotonicTime, const AdapterReady& isReady)
{
    const std::optional<Location> interactive = best(RequestClass::Interactive, isReady);
    std::optional<Location> batch;
    if (batchMayStart() && (!interactive || m_batchCredit > 0))
        batch = best(RequestClass::Batch, isReady);
    if (!interactive && !batch)
        return std::nullopt;
    const bool bothWait = m_interactive.waiting > 0 && m_batch.waiting > 0;
    const QueuedRequest request = remove(batch ? *batch : *interactive);
    if (bothWait) {
        const auto cost = static_cast<double>(request.cost.value());
        m_batchCredit += batch ? -cost * (1 - m_options.batchShare) : cost * m_options.batchShare;
        m_batchCredit = std::clamp(m_batchCredit, -maximumBatchCredit, maximumBatchCredit);
    }
    start(request);
    return request;
}

void FairRequestQueue::settle(QueuedRequestId id, Tokens served)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    const Running running = found->second;
    m_running.erase(found);
    ClassState& classState = state(running.requestClass);
    WorkspaceState& workspace = classState.workspaces[running.workspace];
    workspace.counter += static_cast<double>((served - running.cost).value());
    workspace.reserved -= static_cast<double>(running.cost.value());
    --workspace.running;
    --classState.running;
}

void FairRequestQueue::charge(const WorkspaceId& workspace, RequestClass requestClass, Tokens served)
{
    activate(state(requestClass), workspace).counter += static_cast<double>(served.value());
}

std::vector<QueuedRequest> FairRequestQueue::expire(MonotonicTime now, const AdapterWait& minimumWait)
{
    std::vector<QueuedRequest> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first < now)
        expired.push_back(remove(Location(m_locations.at(m_deadlines.begin()->second))));
    if (!minimumWait)
        return expired;
    std::vector<QueuedRequestId> late;
    for (const ClassState* classState : { &m_interactive, &m_batch }) {
        for (const auto& [adapter, count] : classState->waitingPerAdapter) {
            const Duration wait = minimumWait(adapter);
            if (wait > Duration::zero())
                collectMissedDeadlines(*classState, adapter, now + wait, late);
        }
    }
    for (const QueuedRequestId id : late)
        expired.push_back(remove(Location(m_locations.at(id))));
    return expired;
}

std::vector<WaitingAdapter> FairRequestQueue::waitingAdapters(const AdapterReady& isReady, size_t limit) const
{
    std::vector<WaitingAdapter> first = waitingInClass(RequestClass::Interactive, isReady, limit);
    std::vector<WaitingAdapter> second = waitingInClass(RequestClass::Batch, isReady, limit);
    if (m_batchCredit > 0 && !second.empty()) {
        // Batch requests are below their share, so one of their adapters is loaded before those of
        // interactive requests.
        const AdapterKey& owed = second.front().adapter;
        first.erase(std::remove_if(first.begin(), first.end(),
                        [&](const WaitingAdapter& waiting) { return waiting.adapter == owed; }),
            first.end());
        first.insert(first.begin(), second.front());
    }
    for (const WaitingAdapter& waiting : second) {
        const bool known = std::any_of(first.begin(), first.end(),
            [&](const WaitingAdapter& other) { return other.adapter == waiting.adapter; });
        if (!known)
            first.push_back(waiting);
    }
    if (first.size() > limit)
        first.resize(limit);
    return first;
}

bool FairRequestQueue::hasWaitingRequests(const AdapterKey& adapter, RequestClass requestClass) const
{
    return state(requestClass).waitingPerAdapter.count(adapter) > 0;
}

size_t FairRequestQueue::readyCount(RequestClass requestClass, const AdapterReady& isReady) const
{
    size_t count = 0;
    for (const auto& [id, workspace] : state(requestClass).workspaces) {
        for (const auto& [adapter, adapterQueue] : workspace.adapterQueues)
            count += isReady(adapter, requestClass) ? adapterQueue.size() : 0;
    }
    return count;
}

size_t FairRequestQueue::size(RequestClass requestClass) const
{
    return state(requestClass).waiting;
}

FairRequestQueue::ClassState& FairRequestQueue::state(RequestClass requestClass)
{
    return requestClass == RequestClass::Interactive ? m_interactive : m_batch;
}

const FairRequestQueue::ClassState& FairRequestQueue::state(RequestClass requestClass) const
{
    return requestClass == RequestClass::Interactive ? m_interactive : m_batch;
}

FairRequestQueue::WorkspaceState& FairRequestQueue::activate(ClassState& state, const WorkspaceId& workspace)
{
    WorkspaceState& entry = state.workspaces[workspace];
    if (entry.active())
        return entry;
    // A workspace that returns from idle starts level with the least served active workspace, so it gets no
    // credit for its idle time.
    std::optional<double> least;
    for (const auto& [id, other] : state.workspaces) {
        if (other.active())
            least = std::min(least.value_or(other.served()), other.served());
    }
    entry.counter = std::max(entry.counter, least.value_or(state.virtualTime));
    return entry;
}

bool FairRequestQueue::isBelowShare(const ClassState& state, const WorkspaceId& workspace) const
{
    const auto found = state.workspaces.find(workspace);
    const size_t waiting = found == state.workspaces.end() ? 0 : found->second.waiting;
    const auto others = std::count_if(state.workspaces.begin(), state.workspaces.end(),
        [&](const auto& entry) { return entry.second.waiting > 0 && entry.first != workspace; });
    return waiting < m_options.capacityPerClass / static_cast<size_t>(others + 1);
}

std::optional<FairRequestQueue::Location> FairRequestQueue::best(
    RequestClass requestClass, const AdapterReady& isReady) const
{
    std::optional<Location> best;
    double leastCounter = 0;
    for (const auto& [id, workspace] : state(requestClass).workspaces) {
        if (workspace.adapterQueues.empty() || (best && workspace.counter >= leastCounter))
            continue;
        std::optional<Location> oldest;
        for (const auto& [adapter, adapterQueue] : workspace.adapterQueues) {
            const Sequence sequence = adapterQueue.begin()->first;
            if ((!oldest || sequence < oldest->sequence) && isReady(adapter, requestClass))
                oldest = Location { requestClass, id, adapter, sequence };
        }
        if (!oldest)
            continue;
        best = oldest;
        leastCounter = workspace.counter;
    }
    return best;
}

void FairRequestQueue::collectMissedDeadlines(const ClassState& classState, const AdapterKey& adapter,
    MonotonicTime earliestStart, std::vector<QueuedRequestId>& late)
{
    for (const auto& [id, workspace] : classState.workspaces) {
        const auto adapterQueue = workspace.adapterQueues.find(adapter);
        if (adapterQueue == workspace.adapterQueues.end())
            continue;
        for (const auto& [sequence, request] : adapterQueue->second) {
            if (request.startDeadline < earliestStart)
                late.push_back(request.id);
        }
    }
}

bool FairRequestQueue::batchMayStart() const
{
    return m_options.maximumBatchRunning == 0 || m_batch.running < m_options.maximumBatchRunning;
}

QueuedRequest FairRequestQueue::remove(const Location& location)
{
    ClassState& classState = state(location.requestClass);
    WorkspaceState& workspace = classState.workspaces.at(location.workspace);
    const auto adapterQueue = workspace.adapterQueues.find(location.adapter);
    const auto entry = adapterQueue->second.find(location.sequence);
    QueuedRequest request = entry->second;
    adapterQueue->second.erase(entry);
    if (adapterQueue->second.empty())
        workspace.adapterQueues.erase(adapterQueue);
    --classState.waiting;
    --workspace.waiting;
    const auto count = classState.waitingPerAdapter.find(request.adapter);
    if (--count->second == 0)
        classState.waitingPerAdapter.erase(count);
    m_deadlines.erase({ request.startDeadline, request.id });
    m_locations.erase(request.id);
    return request;
}

void FairRequestQueue::start(const QueuedRequest& request)
{
    ClassState& classState = state(request.requestClass);
    WorkspaceState& workspace = classState.workspaces[request.workspace];
    classState.virtualTime = std::max(classState.virtualTime, workspace.counter);
    workspace.counter += static_cast<double>(request.cost.value());
    workspace.reserved += static_cast<double>(request.cost.value());
    ++workspace.running;
    ++classState.running;
    m_running[request.id] = { request.requestClass, request.workspace, request.cost };
}

std::vector<WaitingAdapter> FairRequestQueue::waitingInClass(
    RequestClass requestClass, const AdapterReady& isReady, size_t limit) const
{
    // Only the oldest request per adapter counts, because the others share its load.
    std::vector<OrderCursor> cursors;
    for (const auto& [id, workspace] : state(requestClass).workspaces) {
        OrderCursor cursor { workspace.counter, {}, 0 };
        for (const auto& [adapter, adapterQueue] : workspace.adapterQueues) {
            if (!isReady(adapter, requestClass))
                cursor.requests.push_back(&adapterQueue.begin()->second);
        }
        std::sort(cursor.requests.begin(), cursor.requests.end(),
            [](const QueuedRequest* a, const QueuedRequest* b) { return a->arrival < b->arrival; });
        if (!cursor.requests.empty())
            cursors.push_back(std::move(cursor));
    }
    std::vector<WaitingAdapter> waiting;
    std::set<AdapterKey> seen;
    while (!cursors.empty() && waiting.size() < limit) {
        const auto least = std::min_element(cursors.begin(), cursors.end(),
            [](const OrderCursor& a, const OrderCursor& b) { return a.counter < b.counter; });
        const QueuedRequest& request = *least->requests[least->next++];
        least->counter += static_cast<double>(request.cost.value());
        if (seen.insert(request.adapter).second)
            waiting.push_back({ request.adapter, requestClass, request.arrival });
        if (least->next == least->requests.size())
            cursors.erase(least);
    }
    return waiting;
}

} // namespace lacewing
