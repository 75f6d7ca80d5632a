#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "state/peer_messages.h"

#include <functional>
#include <optional>
#include <vector>

namespace lacewing {

/// Number of one request in the queue of one upstream, given by the owner.
using QueuedRequestId = StrongNumber<struct QueuedRequestIdTag>;

/// A request that waits for its upstream.
struct QueuedRequest {
    QueuedRequestId id;
    WorkspaceId workspace;
    AdapterKey adapter;
    RequestClass requestClass = RequestClass::Interactive;
    /// Prompt tokens plus the most tokens that may be generated.
    Tokens cost;
    MonotonicTime arrival;
    /// The request is refused if it has not started by then.
    MonotonicTime startDeadline;
};

/// An adapter that requests wait for.
struct WaitingAdapter {
    AdapterKey adapter;
    /// Class of the request that puts the adapter at its place in the order.
    RequestClass requestClass = RequestClass::Interactive;
    /// Arrival of that request.
    MonotonicTime arrival;
};

/// Tells whether a request of the class for the adapter can start at once.
using AdapterReady = std::function<bool(const AdapterKey&, RequestClass)>;

/// Least time until a request for the adapter can start.
using AdapterWait = std::function<Duration(const AdapterKey&)>;

/// Requests that wait for one upstream. Not thread-safe, like all of coordination.
class RequestQueue {
public:
    virtual ~RequestQueue() = default;

    /// Adds a request, whose id is in use neither by a waiting nor by a running request.
    ///
    /// @return false if the queue is full; the request was not added then.
    virtual bool push(const QueuedRequest& request) = 0;

    /// Removes a waiting request, because its caller left or it moves to another upstream.
    ///
    /// @return false if no such request waits.
    virtual bool erase(QueuedRequestId id) = 0;

    /// Takes the next request that may start. It counts as running, at its full cost, until settle().
    ///
    /// @param isReady usually AdapterResidency::isReady().
    virtual std::optional<QueuedRequest> pop(MonotonicTime now, const AdapterReady& isReady) = 0;

    /// Ends a running request that pop() returned.
    ///
    /// @param served tokens that were served, which replace the request's cost; 0 if it was not run.
    virtual void settle(QueuedRequestId id, Tokens served) = 0;

    /// Accounts for tokens that did not pass through this queue, such as those of requests that were running
    /// when the owner took the upstream over.
    virtual void charge(const WorkspaceId& workspace, RequestClass requestClass, Tokens served) = 0;

    /// Removes the requests whose start deadline has passed, or cannot be met any more.
    ///
    /// @param minimumWait lower bound of the wait per adapter; none means zero for all.
    virtual std::vector<QueuedRequest> expire(MonotonicTime now, const AdapterWait& minimumWait) = 0;

    /// @param limit largest number of adapters returned.
    /// @return adapters with waiting requests that are not ready, in the order in which their loads should
    /// start.
    virtual std::vector<WaitingAdapter> waitingAdapters(const AdapterReady& isReady, size_t limit) const = 0;

    /// @return true if any request of the class waits for the adapter.
    virtual bool hasWaitingRequests(const AdapterKey& adapter, RequestClass requestClass) const = 0;

    /// @return the number of waiting requests of a class that could start if the upstream had room for them.
    /// Requests that wait for a load are not counted: they would wait on another upstream as well, so they
    /// are no reason to send others elsewhere.
    virtual size_t readyCount(RequestClass requestClass, const AdapterReady& isReady) const = 0;

    /// @return the number of waiting requests of a class.
    virtual size_t size(RequestClass requestClass) const = 0;

    /// @return the number of waiting requests.
    size_t size() const { return size(RequestClass::Interactive) + size(RequestClass::Batch); }
};

} // namespace lacewing
