#include "coordination/fifo_request_queue.h"

#include <algorithm>
#include <set>

namespace lacewing {

bool FifoRequestQueue::push(const QueuedRequest& request)
{
    if (m_requests.size() >= m_capacity)
        return false;
    m_requests.push_back(request);
    ++m_waiting[{ request.adapter, request.requestClass }];
    return true;
}

bool FifoRequestQueue::erase(QueuedRequestId id)
{
    const auto found = std::find_if(m_requests.begin(), m_requests.end(),
        [id](const QueuedRequest& request) { return request.id == id; });
    if (found == m_requests.end())
        return false;
    remove(found);
    return true;
}

std::optional<QueuedRequest> FifoRequestQueue::pop(MonotonicTime, const AdapterReady& isReady)
{
    if (m_requests.empty() || !isReady(m_requests.front().adapter, m_requests.front().requestClass))
        return std::nullopt;
    QueuedRequest request = m_requests.front();
    remove(m_requests.begin());
    return request;
}

std::vector<QueuedRequest> FifoRequestQueue::expire(MonotonicTime now, const AdapterWait& minimumWait)
{
    std::vector<QueuedRequest> expired;
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        const Duration wait = minimumWait ? minimumWait(it->adapter) : Duration::zero();
        if (it->startDeadline >= now + wait) {
            ++it;
            continue;
        }
        expired.push_back(*it);
        it = remove(it);
    }
    return expired;
}

std::vector<WaitingAdapter> FifoRequestQueue::waitingAdapters(const AdapterReady& isReady, size_t limit) const
{
    std::vector<WaitingAdapter> waiting;
    std::set<AdapterKey> seen;
    for (const QueuedRequest& request : m_requests) {
        if (waiting.size() >= limit)
            break;
        if (!seen.insert(request.adapter).second || isReady(request.adapter, request.requestClass))
            continue;
        waiting.push_back({ request.adapter, request.requestClass, request.arrival });
    }
    return waiting;
}

bool FifoRequestQueue::hasWaitingRequests(const AdapterKey& adapter, RequestClass requestClass) const
{
    return m_waiting.count({ adapter, requestClass }) > 0;
}

size_t FifoRequestQueue::readyCount(RequestClass requestClass, const AdapterReady& isReady) const
{
    size_t count = 0;
    for (const auto& [key, waiting] : m_waiting)
        count += key.second == requestClass && isReady(key.first, key.second) ? waiting : 0;
    return count;
}

std::list<QueuedRequest>::iterator FifoRequestQueue::remove(std::list<QueuedRequest>::iterator request)
{
    const auto count = m_waiting.find({ request->adapter, request->requestClass });
    if (--count->second == 0)
        m_waiting.erase(count);
    return m_requests.erase(request);
}

size_t FifoRequestQueue::size(RequestClass requestClass) const
{
    return static_cast<size_t>(std::count_if(m_requests.begin(), m_requests.end(),
        [=](const QueuedRequest& request) { return request.requestClass == requestClass; }));
}

} // namespace lacewing
