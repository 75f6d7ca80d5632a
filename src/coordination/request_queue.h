#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "state/peer_messages.h"

#include <functional>
#include <optional>
#include <vector>

namespace lacewing {

/// Id of a request in the queue of one upstream, assigned by the owner.
using QueuedRequestId = StrongNumber<struct QueuedRequestIdTag>;

/// A request that waits for an upstream.
struct QueuedRequest {
    QueuedRequestId id;
    WorkspaceId workspace;
    AdapterKey adapter;
    RequestClass requestClass = RequestClass::Interactive;
    /// Prompt tokens plus the maximum number of generated tokens.
    Tokens cost;
    MonotonicTime arrival;
    /// The request is rejected if it has not started by this time.
    MonotonicTime startDeadline;
};

/// An adapter that requests wait for.
struct WaitingAdapter {
    AdapterKey adapter;
    /// Class of the request that determines the adapter's position in the order.
    RequestClass requestClass = RequestClass::Interactive;
    /// Arrival of that request.
    MonotonicTime arrival;
};

/// Returns whether a request of the class for the adapter can start at once.
using AdapterReady = std::function<bool(const AdapterKey&, RequestClass)>;

/// Returns the minimum time until a request for the adapter can start.
using AdapterWait = std::function<Duration(const AdapterKey&)>;

/// Queue of requests that wait for one upstream. Not thread-safe, like all classes in coordination.
class RequestQueue {
public:
    virtual ~RequestQueue() = default;

    /// Adds a request. Its id must not be in use by a waiting or running request.
    ///
    /// @return false if the queue is full, in which case the request is not added.
    virtual bool push(const QueuedRequest& request) = 0;

    /// Removes a waiting request, for example because its caller disconnected or it moves to another
    /// upstream.
    ///
    /// @return false if no request with this id is waiting.
    virtual bool erase(QueuedRequestId id) = 0;

    /// Removes the next request that may start. It counts as running, at its full cost, until settle().
    ///
    /// @param isReady usually AdapterResidency::isReady().
    /// @return std::nullopt if no request may start.
    virtual std::optional<QueuedRequest> pop(MonotonicTime now, const AdapterReady& isReady) = 0;

    /// Ends a running request that pop() returned.
    ///
    /// @param served tokens actually served, which replace the request's cost; 0 if it did not run.
    virtual void settle(QueuedRequestId id, Tokens served) = 0;

    /// Charges tokens of requests that did not pass through this queue, such as those that were already
    /// running when the owner took over the upstream.
    virtual void charge(const WorkspaceId& workspace, RequestClass requestClass, Tokens served) = 0;

    /// Removes the requests whose start deadline has passed or can no longer be met.
    ///
    /// @param minimumWait lower bound of the wait per adapter; an empty function means zero for all.
    /// @return the removed requests.
    virtual std::vector<QueuedRequest> expire(MonotonicTime now, const AdapterWait& minimumWait) = 0;

    /// @param limit maximum number of adapters returned.
    /// @return adapters with waiting requests that are not ready, in the order in which their loads should
    /// start.
    virtual std::vector<WaitingAdapter> waitingAdapters(const AdapterReady& isReady, size_t limit) const = 0;

    /// @return true if a request of the class waits for the adapter.
    virtual bool hasWaitingRequests(const AdapterKey& adapter, RequestClass requestClass) const = 0;

    /// @return the number of waiting requests of a class that could start if the upstream had capacity.
    /// Requests that wait for a load are not counted: they would wait on another upstream as well, so they
    /// are no reason to route other requests away.
    virtual size_t readyCount(RequestClass requestClass, const AdapterReady& isReady) const = 0;

    /// @return the number of waiting requests of a class.
    virtual size_t size(RequestClass requestClass) const = 0;

    /// @return the number of waiting requests.
    size_t size() const { return size(RequestClass::Interactive) + size(RequestClass::Batch); }
};

} // namespace lacewing
