#pragma once

#include "coordination/request_queue.h"

#include <list>
#include <map>
#include <utility>

namespace lacewing {

/// Baseline for comparison: starts requests in order of arrival.
///
/// Load pattern: requests for resident adapters only; a request that waits for a load blocks all later ones.
class FifoRequestQueue : public RequestQueue {
public:
    explicit FifoRequestQueue(size_t capacity)
        : m_capacity(capacity)
    {
    }

    bool push(const QueuedRequest& request) override;
    bool erase(QueuedRequestId id) override;
    std::optional<QueuedRequest> pop(MonotonicTime now, const AdapterReady& isReady) override;
    void settle(QueuedRequestId, Tokens) override { }
    void charge(const WorkspaceId&, RequestClass, Tokens) override { }
    std::vector<QueuedRequest> expire(MonotonicTime now, const AdapterWait& minimumWait) override;
    std::vector<WaitingAdapter> waitingAdapters(const AdapterReady& isReady, size_t limit) const override;
    bool hasWaitingRequests(const AdapterKey& adapter, RequestClass requestClass) const override;
    size_t readyCount(RequestClass requestClass, const AdapterReady& isReady) const override;
    size_t size(RequestClass requestClass) const override;

private:
    std::list<QueuedRequest>::iterator remove(std::list<QueuedRequest>::iterator request);

    size_t m_capacity;
    std::list<QueuedRequest> m_requests;
    std::map<std::pair<AdapterKey, RequestClass>, size_t> m_waiting;
};

} // namespace lacewing
